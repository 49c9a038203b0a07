//! An unchanged machine list is not sent twice, and a changed one always is.

use std::net::{Ipv4Addr, SocketAddr};

use havenstage_edge::machine_list::{Machine, MachineList, MachineRole, MachineState};
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_platform_http::machine_list::HttpMachineList;
use havenstage_standin::Running;
use havenstage_standin::machine_list::{MachineChange, MachineListSettings, MachineListStandin};
use tokio::net::TcpListener;

const MACHINES: u16 = 200;

fn machine(port: u16) -> Machine {
    Machine {
        role: MachineRole::Node,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        state: MachineState::Live,
    }
}

async fn start() -> Running<MachineListStandin> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let settings = MachineListSettings {
        machines: (1..=MACHINES).map(machine).collect(),
        ..MachineListSettings::default()
    };
    MachineListStandin::start(listener, settings).await.unwrap()
}

#[tokio::test]
async fn an_unchanged_list_is_not_sent_again() {
    let standin = start().await;
    let client = HttpClient::new(HttpClientSettings::default());
    let machines = HttpMachineList::new(client.clone(), standin.address());

    let first = machines.machines().await.unwrap();
    let after_first = client.traffic().snapshot().received_bytes;
    let second = machines.machines().await.unwrap();
    let for_second = client.traffic().snapshot().received_bytes - after_first;

    assert_eq!(first, second);
    assert!(after_first > 10_000, "{after_first}");
    assert!(for_second < 300, "{for_second}");
}

#[tokio::test]
async fn every_change_shows_at_the_next_read() {
    let standin = start().await;
    let client = HttpClient::new(HttpClientSettings::default());
    let machines = HttpMachineList::new(client, standin.address());
    machines.machines().await.unwrap();

    let changes = [
        MachineChange::SetState {
            address: machine(7).address,
            state: MachineState::Leaving,
        },
        MachineChange::Put(machine(MACHINES + 1)),
        MachineChange::Remove {
            address: machine(9).address,
        },
        MachineChange::SetState {
            address: machine(7).address,
            state: MachineState::Live,
        },
    ];
    for change in changes {
        standin.state().change(change);
        let seen = machines.machines().await.unwrap();
        let fresh_client = HttpClient::new(HttpClientSettings::default());
        let whole = HttpMachineList::new(fresh_client, standin.address());
        assert_eq!(seen, whole.machines().await.unwrap());
    }
}

#[tokio::test]
async fn a_tag_of_an_earlier_run_does_not_hide_the_list_of_this_one() {
    let earlier = start().await;
    let address = earlier.address();
    let client = HttpClient::new(HttpClientSettings::default());
    let machines = HttpMachineList::new(client, address);
    assert_eq!(
        machines.machines().await.unwrap().len(),
        usize::from(MACHINES)
    );

    earlier.gate().closed().await;
    drop(earlier);
    let listener = TcpListener::bind(address).await.unwrap();
    let settings = MachineListSettings {
        machines: vec![machine(1)],
        ..MachineListSettings::default()
    };
    let _later = MachineListStandin::start(listener, settings).await.unwrap();

    let mut seen = machines.machines().await;
    if seen.is_err() {
        // The first request may go to a connection that the earlier run had open.
        seen = machines.machines().await;
    }
    assert_eq!(seen.unwrap(), vec![machine(1)]);
}
