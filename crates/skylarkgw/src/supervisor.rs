//! Supervision of the long-running tasks of a process.
//!
//! A supervised task runs until its supervisor is stopped. A task that panics or
//! returns early is restarted after a delay, and the other tasks keep running.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::telemetry;

/// Delay before a task that ended early is restarted.
pub const RESTART_DELAY: Duration = Duration::from_millis(200);

/// A supervisor of tasks, which restarts those that end early.
#[derive(Debug)]
pub struct TaskSupervisor {
    tasks: JoinSet<()>,
    stop: watch::Receiver<bool>,
}

/// Stops the tasks of a supervisor, either explicitly or when dropped.
#[derive(Debug)]
pub struct StopHandle {
    sender: watch::Sender<bool>,
}

impl StopHandle {
    /// Stops all tasks.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

/// Notifies a task that it has to stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

impl StopSignal {
    /// Waits until the task has to stop.
    pub async fn stopped(&mut self) {
        // An error means that the handle was dropped, which also stops the task.
        let _ = self.receiver.wait_for(|stopped| *stopped).await;
    }
}

impl TaskSupervisor {
    /// Creates a supervisor and the handle that stops its tasks.
    pub fn new() -> (TaskSupervisor, StopHandle) {
        let (sender, stop) = watch::channel(false);
        (TaskSupervisor { tasks: JoinSet::new(), stop }, StopHandle { sender })
    }

    /// Returns a stop signal for a task that is not supervised.
    pub fn stop_signal(&self) -> StopSignal {
        StopSignal { receiver: self.stop.clone() }
    }

    /// Runs a task until the supervisor is stopped, and restarts it whenever it ends
    /// early.
    ///
    /// `start_task` creates a new instance of the task. `name` is used in log lines.
    pub fn supervise<F, T>(&mut self, name: &'static str, mut start_task: F)
    where
        F: FnMut() -> T + Send + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        let mut signal = self.stop_signal();
        self.tasks.spawn(async move {
            loop {
                let mut task = tokio::spawn(start_task());
                tokio::select! {
                    result = &mut task => telemetry::log_task_end(name, result.is_err()),
                    () = signal.stopped() => {
                        task.abort();
                        return;
                    }
                }
                tokio::select! {
                    () = tokio::time::sleep(RESTART_DELAY) => {}
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
