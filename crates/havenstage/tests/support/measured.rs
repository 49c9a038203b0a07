//! A process under test whose memory and descriptors are measured.

use std::fs;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Bytes of a megabyte, as in limits of memory.
const BYTES_PER_MB: u64 = 1_000_000;
/// Number of samples of the memory that must be alike before it counts as settled.
const SETTLED_SAMPLES: usize = 10;
/// Interval between two samples of the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Samples after which memory that does not settle is taken as it is.
const MAX_SAMPLES: usize = 200;
/// Bytes by which two samples may differ and still be alike.
const SAMPLE_TOLERANCE: u64 = 256 * 1024;

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Measured {
    child: Child,
}

impl Measured {
    /// Starts a program with at most this many open descriptors. Its standard output and error can be taken with
    /// [`Self::output`].
    pub fn start(program: &str, arguments: &[&str], descriptors: u64) -> Self {
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!(
                "ulimit -n {descriptors} && exec \"$0\" \"$@\" 2>&1"
            ))
            .arg(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// The standard output and error of the process, once.
    pub fn output(&mut self) -> std::process::ChildStdout {
        self.child
            .stdout
            .take()
            .expect("standard output is taken once")
    }

    /// Panics if the process has ended.
    pub fn assert_alive(&mut self) {
        let ended = self.child.try_wait().expect("the process can be asked");
        assert_eq!(ended, None, "the process has ended");
    }

    /// Highest resident memory so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.status_kb("VmHWM:") * 1024
    }

    /// Resident memory now, in bytes.
    pub fn memory(&self) -> u64 {
        self.status_kb("VmRSS:") * 1024
    }

    /// Waits until the resident memory has settled.
    pub fn wait_until_memory_settles(&self) {
        let (mut alike, mut last) = (0, 0);
        for _ in 0..MAX_SAMPLES {
            let now = self.memory();
            alike = match now.abs_diff(last) <= SAMPLE_TOLERANCE {
                true => alike + 1,
                false => 0,
            };
            if alike >= SETTLED_SAMPLES {
                return;
            }
            last = now;
            std::thread::sleep(SAMPLE_INTERVAL);
        }
    }

    /// Panics if the process has held more memory than this at any time.
    pub fn assert_memory_within(&self, megabytes: u64) {
        let peak = self.peak_memory() as f64 / BYTES_PER_MB as f64;
        println!("peak {peak:.1} MB of {megabytes} MB");
        assert!(
            peak <= megabytes as f64,
            "the process has held {peak:.1} MB, its machine has {megabytes} MB"
        );
    }

    /// Panics if the process has more open descriptors than this.
    pub fn assert_descriptors_within(&self, most: usize) {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the process lives")
            .count();
        println!("{open} descriptors of {most}");
        assert!(
            open <= most,
            "{open} descriptors are open, at most {most} may be"
        );
    }

    fn status_kb(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process lives");
        let line = status.lines().find(|line| line.starts_with(field));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number
            .and_then(|number| number.parse().ok())
            .unwrap_or_else(|| panic!("no {field} in {status}"))
    }
}

impl Drop for Measured {
    fn drop(&mut self) {
        // Fails only for a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
