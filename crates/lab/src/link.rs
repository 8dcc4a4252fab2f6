//! A link between two processes that can be cut, both ways or one way, and healed: what was
//! sent meanwhile arrives late, as over TCP.

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
    /// Nothing reaches the one that was connected to.
    pub forward: bool,
    /// Nothing comes back from it.
    pub backward: bool,
}

impl Cut {
    /// Nothing passes.
    pub const BOTH: Self = Self {
        forward: true,
        backward: true,
    };
    /// Everything passes.
    pub const NONE: Self = Self {
        forward: false,
        backward: false,
    };
}

/// A link to a process.
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

    /// No link: the process itself, for measurements. It can't be cut.
    #[must_use]
    pub fn direct(target: SocketAddr) -> Self {
        Self {
            address: target,
            cut: watch::Sender::new(Cut::NONE),
        }
    }

    /// Cuts it, or heals it.
    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, cut: watch::Receiver<Cut>) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(proxy_connection(caller, target, cut.clone()));
    }
}

async fn proxy_connection(caller: TcpStream, target: SocketAddr, cut: watch::Receiver<Cut>) {
    // A dropped caller is how a refused connection shows through the link.
    let Ok(process) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = process.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_process, to_process) = process.into_split();
    let forward = copy_unless_cut(from_caller, to_process, cut.clone(), |cut| cut.forward);
    let backward = copy_unless_cut(from_process, to_caller, cut, |cut| cut.backward);
    // When one side ends, the other connection ends with it.
    tokio::select! {
        () = forward => {}
        () = backward => {}
    }
}

async fn copy_unless_cut(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<Cut>,
    is_blocked: fn(&Cut) -> bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if cut.wait_for(|cut| !is_blocked(cut)).await.is_err() {
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
