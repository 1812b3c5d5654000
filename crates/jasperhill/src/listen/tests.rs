//! Retries of binding an address.

use super::*;

/// A predecessor that has not quite exited holds the port for a while.
#[test]
fn an_address_in_use_is_retried() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let predecessor = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = predecessor.local_addr().unwrap();
        let predecessor_exits = async {
            tokio::time::sleep(BIND_RETRY_PAUSE * 3).await;
            drop(predecessor);
        };
        let (bound, ()) = tokio::join!(listen(address, 16), predecessor_exits);
        assert_eq!(bound.unwrap().local_addr().unwrap(), address);
        // An address that cannot be bound at all is not retried.
        let foreign: SocketAddr = "192.0.2.1:1".parse().unwrap();
        assert!(listen(foreign, 16).await.is_err());
    });
}
