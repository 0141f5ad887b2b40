//! The task tree: every task has a name, a parent and an end.
//!
//! A task ends when the channel that it reads closes or when the process
//! stops. One that panics or returns early is started again after a pause; the
//! rest of the process goes on.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::telemetry;

/// Pause before a task that failed is started again.
pub const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// A node of the task tree.
#[derive(Debug)]
pub struct TaskSupervisor {
    tasks: JoinSet<()>,
    stop: watch::Receiver<bool>,
}

/// Ends the tasks of a supervisor when it is dropped or told so.
#[derive(Debug)]
pub struct StopHandle {
    sender: watch::Sender<bool>,
}

impl StopHandle {
    /// Tells all tasks to end.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

/// Tells a task that it has to end.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

impl StopSignal {
    /// Waits until the task has to end.
    pub async fn stopped(&mut self) {
        // An error means that the handle is gone, which ends the task as well.
        let _ = self.receiver.wait_for(|stopped| *stopped).await;
    }
}

impl TaskSupervisor {
    /// Creates a supervisor and the handle that ends its tasks.
    pub fn new() -> (TaskSupervisor, StopHandle) {
        let (sender, stop) = watch::channel(false);
        (TaskSupervisor { tasks: JoinSet::new(), stop }, StopHandle { sender })
    }

    /// Returns a signal for a task that watches for the end itself.
    pub fn stop_signal(&self) -> StopSignal {
        StopSignal { receiver: self.stop.clone() }
    }

    /// Runs a task until the end and starts it again whenever it ends early.
    pub fn supervise<F, T>(&mut self, name: &'static str, mut make: F)
    where
        F: FnMut() -> T + Send + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        let mut signal = self.stop_signal();
        self.tasks.spawn(async move {
            loop {
                let mut task = tokio::spawn(make());
                tokio::select! {
                    ended = &mut task => telemetry::task_ended(name, ended.is_err()),
                    () = signal.stopped() => {
                        task.abort();
                        return;
                    }
                }
                tokio::select! {
                    () = tokio::time::sleep(RESTART_PAUSE) => {}
                    () = signal.stopped() => return,
                }
            }
        });
    }

    /// Waits until all tasks have ended.
    pub async fn join(mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}
