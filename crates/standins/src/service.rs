//! Stand-in for a plain service that records orders.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::faults::{FaultLayer, FaultState, fault_endpoint};

/// Header that names the request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Number of executions of each order, by its identifier.
pub type ExecutionCounts = BTreeMap<String, u32>;

/// Record of the orders that the service has executed and of the requests it
/// received.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    executions: Arc<Mutex<ExecutionCounts>>,
    received_headers: Arc<Mutex<Vec<String>>>,
    work_time: Duration,
}

/// Body of a request that places an order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderBody {
    /// Identifier of the order, chosen by the client.
    pub order: String,
}

#[derive(Serialize)]
struct OrderResponse {
    order: String,
    executions: u32,
}

impl OrderBook {
    /// Creates an empty order book for a service that takes `work_time` per
    /// order.
    pub fn new(work_time: Duration) -> OrderBook {
        OrderBook { work_time, ..OrderBook::default() }
    }

    fn execute(&self, order: &str) -> u32 {
        let mut executions = self.executions.lock().unwrap_or_else(PoisonError::into_inner);
        let count = executions.entry(order.to_owned()).or_default();
        *count += 1;
        *count
    }

    fn counts(&self) -> ExecutionCounts {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record_headers(&self, request: &Request) {
        let line = format!("{} {:?}", request.uri(), request.headers());
        self.received_headers.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// Builds the HTTP routes of the stand-in.
pub fn service_routes(book: OrderBook, faults: FaultState) -> impl Endpoint<Output = Response> {
    let service = Route::new()
        .at("/orders", post(place_order))
        .at("/orders/:order", get(read_order))
        .at("/notice", get(notice))
        .around(name_request)
        .data(book.clone())
        .with(FaultLayer::new(faults.clone()));
    Route::new()
        .nest("/", service)
        .at("/standin/faults", post(fault_endpoint(faults)))
        .at("/standin/executions", get(execution_counts).data(book.clone()))
        .at("/standin/headers", get(received_headers).data(book))
        .map_to_response()
}

/// Names the request in its response, so that its connection may be used again.
async fn name_request<E: Endpoint>(endpoint: E, request: Request) -> poem::Result<Response> {
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let mut response = endpoint.get_response(request).await;
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    Ok(response)
}

#[handler]
async fn place_order(
    Data(book): Data<&OrderBook>,
    request: &Request,
    Json(body): Json<OrderBody>,
) -> Response {
    book.record_headers(request);
    let executions = book.execute(&body.order);
    sleep(book.work_time).await;
    let response = OrderResponse { order: body.order, executions };
    Json(response).with_status(StatusCode::CREATED).into_response()
}

#[handler]
async fn read_order(
    Data(book): Data<&OrderBook>,
    request: &Request,
    Path(order): Path<String>,
) -> Response {
    book.record_headers(request);
    match book.counts().get(&order) {
        Some(executions) => Json(OrderResponse { order, executions: *executions }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn notice(Data(book): Data<&OrderBook>, request: &Request) -> &'static str {
    book.record_headers(request);
    "open today"
}

#[handler]
async fn execution_counts(Data(book): Data<&OrderBook>) -> Json<ExecutionCounts> {
    Json(book.counts())
}

#[handler]
async fn received_headers(Data(book): Data<&OrderBook>) -> Json<Vec<String>> {
    Json(book.received_headers.lock().unwrap_or_else(PoisonError::into_inner).clone())
}
