//! The limit on open connections.

use gentianridge_serve::{Connections, TrackingAcceptor};
use poem::listener::Acceptor;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// A connection above the limit is closed; one that ends makes room for another.
#[tokio::test]
async fn closed_above_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Connections::new();
    let mut acceptor = TrackingAcceptor::new(listener, connections.clone())
        .unwrap()
        .max_connections(2);
    let first = TcpStream::connect(addr).await.unwrap();
    let (accepted, ..) = acceptor.accept().await.unwrap();
    let _second = TcpStream::connect(addr).await.unwrap();
    let _kept = acceptor.accept().await.unwrap();
    let mut above = TcpStream::connect(addr).await.unwrap();
    tokio::select! {
        _ = acceptor.accept() => panic!("a third connection is accepted"),
        read = above.read_u8() => assert!(read.is_err(), "the connection is closed"),
    }
    assert_eq!(connections.len(), 2);
    drop((first, accepted));
    let _next = TcpStream::connect(addr).await.unwrap();
    acceptor.accept().await.unwrap();
    assert_eq!(
        connections.len(),
        1,
        "the last one is closed when it is dropped"
    );
}
