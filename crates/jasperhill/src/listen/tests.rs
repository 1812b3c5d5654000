//! Retries of binding a listening socket.

use super::*;

/// After a quick restart, the previous process may not have exited completely and still holds the port.
/// Binding the address is retried until the port is free. Other bind errors are not retried.
#[test]
fn retries_address_in_use_but_not_unavailable_address() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let previous_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = previous_listener.local_addr().unwrap();
        let release_port = async {
            tokio::time::sleep(BIND_RETRY_PAUSE * 3).await;
            drop(previous_listener);
        };
        let (listener, ()) = tokio::join!(listen(address, 16), release_port);
        assert_eq!(listener.unwrap().local_addr().unwrap(), address);
        // An address that belongs to no local interface gives an error at once.
        let non_local_address: SocketAddr = "192.0.2.1:1".parse().unwrap();
        assert!(listen(non_local_address, 16).await.is_err());
    });
}
