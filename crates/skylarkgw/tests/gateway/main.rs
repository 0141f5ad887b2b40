//! Tests of the control thread's tasks against a store that the test controls,
//! without a network.

mod declaration;
mod registry;
mod standin;
