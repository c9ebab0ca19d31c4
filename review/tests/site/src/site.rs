//! A small site: the store, and one daemon in each of three zones, as processes with the command of the deploy file.

use crate::{http::Connection, platform::Platform, record::Record};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub const ZONES: [&str; 3] = ["castlegar-hall", "kamloops-hall", "prince-hall"];

/// One VM of the system.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

/// The site. Dropping it ends its processes.
pub struct Site {
    pub platform: Arc<Platform>,
    pub vms: Vec<Vm>,
    folder: PathBuf,
}

impl Site {
    /// Starts the store and the daemons; `config` is what the operator writes before.
    pub fn start(config: &str, servers: &[(String, String)], record: &Record) -> io::Result<Self> {
        let (platform, store) = Platform::start()?;
        platform.put("keyed.op", "config", config);
        record.line(&format!("operator  {config}"));
        for (id, entry) in servers {
            platform.put("keyed.servers", id, entry);
            record.line(&format!("listed    {id} {entry}"));
        }
        let folder = std::env::temp_dir().join(format!("review-site-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut site = Self {
            platform,
            vms: Vec::new(),
            folder,
        };
        for (index, zone) in ZONES.iter().enumerate() {
            let vm = site.start_vm(&format!("edge-{zone}-1"), index, zone, store)?;
            site.vms.push(vm);
        }
        Ok(site)
    }

    fn start_vm(&self, name: &str, index: usize, zone: &str, store: SocketAddr) -> io::Result<Vm> {
        let ip = format!("127.0.0.{}", 11 + index);
        let [front, readiness, peer, metrics] = free_addresses(&ip)?;
        let zones = ZONES.map(|zone| format!("\"{zone}\"")).join(",");
        // What the template of the deploy file yields for a small deployment.
        let settings = format!(
            r#"{{
  "mode": "direct", "vm": "{name}", "zone": "{zone}", "cores": 0.25,
  "caller_address": "{front}", "ready_address": "{readiness}",
  "peer_address": "{peer}", "metrics_address": "{metrics}", "platform_address": "{store}",
  "zones": [{zones}], "first_start": true,
  "retries": {{ "ratio": 0.2, "slack": 54, "window_s": 10 }},
  "revocation": {{ "strict": false, "bound_ms": null }},
  "recovery": {{ "bound_s": 12 }},
  "quotas": {{ "window_s": null, "over": null, "slack": null }},
  "pace": {{ "config_bound_ms": 2000 }},
  "orders_fenced": true,
  "leases": {{ "turn_ms": 3000 }}
}}"#
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/hoplandingd")
            .arg("--config")
            .arg(&path)
            .env("HOPLANDING_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Vm {
            name: name.to_owned(),
            front,
            readiness,
            child,
        })
    }

    /// Waits until every VM says that it is ready.
    pub fn wait_until_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.vms.iter().all(|vm| is_ready(vm.readiness)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether all daemons still run.
    pub fn is_running(&mut self) -> bool {
        self.vms
            .iter_mut()
            .all(|vm| matches!(vm.child.try_wait(), Ok(None)))
    }

    /// Copies the daemons' logs beside the record, for reading.
    pub fn keep_logs(&self, folder: &Path) {
        for vm in &self.vms {
            let name = format!("{}.log", vm.name);
            let _ = fs::copy(self.folder.join(&name), folder.join(&name));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Addresses that were free a moment ago.
fn free_addresses(ip: &str) -> io::Result<[SocketAddr; 4]> {
    let listeners: Vec<_> = (0..4)
        .map(|_| TcpListener::bind(format!("{ip}:0")))
        .collect::<Result<_, _>>()?;
    let address = |index: usize| listeners[index].local_addr();
    Ok([address(0)?, address(1)?, address(2)?, address(3)?])
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || {
        let mut connection = Connection::open(address, Duration::from_secs(1))?;
        connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(1)))?;
        connection
            .write(b"GET /hoplanding/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        connection.read(true)
    };
    matches!(ask(), Ok(Some(answer)) if answer.status() == 200)
}
