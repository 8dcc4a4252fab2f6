//! A link between an entry host and an engine that can be cut, both ways or one way, and
//! healed: what was sent meanwhile arrives late, as over TCP.

use {
    std::{io, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
    },
};

/// How a link is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Nothing reaches the engine.
    pub forth: bool,
    /// Nothing comes back from it.
    pub back: bool,
}

/// A link to an engine.
pub struct Link {
    /// Where the link is entered.
    pub address: SocketAddr,
    cut: watch::Sender<Cut>,
}

impl Link {
    /// A whole link to `target`.
    ///
    /// # Errors
    /// No port is free.
    pub async fn to(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = watch::Sender::new(Cut::default());
        tokio::spawn(accept(listener, target, cut.subscribe()));
        Ok(Self { address, cut })
    }

    /// Cuts it, or heals it.
    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, cut: watch::Receiver<Cut>) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(connect(caller, target, cut.clone()));
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, cut: watch::Receiver<Cut>) {
    // A dropped caller is how a refused connection shows through the link.
    let Ok(engine) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = engine.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_engine, to_engine) = engine.into_split();
    let forth = pass(from_caller, to_engine, cut.clone(), |cut| cut.forth);
    let back = pass(from_engine, to_caller, cut, |cut| cut.back);
    // When one side ends, the other connection ends with it.
    tokio::select! {
        () = forth => {}
        () = back => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<Cut>,
    is_cut: fn(&Cut) -> bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if cut.wait_for(|cut| !is_cut(cut)).await.is_err() {
            return;
        }
        // A side that ended its sending may still receive.
        if read == 0 {
            let _ = to.shutdown().await;
            return std::future::pending().await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
