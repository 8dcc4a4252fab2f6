//! A TCP proxy between two processes that can be cut in one or both directions and healed. As with
//! TCP over a broken network, bytes sent during the cut arrive after it is healed.

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

/// The directions in which a link is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Nothing passes from the connecting side to the target.
    pub forward: bool,
    /// Nothing passes from the target to the connecting side.
    pub backward: bool,
}

impl Cut {
    /// Both directions are cut.
    pub const BOTH: Self = Self {
        forward: true,
        backward: true,
    };
    /// The link is whole.
    pub const NONE: Self = Self {
        forward: false,
        backward: false,
    };
}

/// A link to a process, cut and healed with [`Link::set`].
pub struct Link {
    /// The address to connect to instead of the target's own.
    pub address: SocketAddr,
    cut: watch::Sender<Cut>,
}

impl Link {
    /// Opens a link to `target`.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn to(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = watch::Sender::new(Cut::default());
        tokio::spawn(accept(listener, target, cut.subscribe()));
        Ok(Self { address, cut })
    }

    /// Returns the target's own address without a proxy, for measurements. Cutting it has no effect.
    #[must_use]
    pub fn direct(target: SocketAddr) -> Self {
        Self {
            address: target,
            cut: watch::Sender::new(Cut::NONE),
        }
    }

    /// Cuts or heals the link.
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
    // Dropping the caller's connection passes on that the target refused it.
    let Ok(process) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = process.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_process, to_process) = process.into_split();
    let forward = copy_unless_cut(from_caller, to_process, cut.clone(), |cut| cut.forward);
    let backward = copy_unless_cut(from_process, to_caller, cut, |cut| cut.backward);
    // An error in one direction closes both connections.
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
        // Half-close: this side sends no more but may still receive.
        if read == 0 {
            let _ = to.shutdown().await;
            return std::future::pending().await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
