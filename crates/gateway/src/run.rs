//! Starts a host and runs it until it has shut down gracefully.

use {
    crate::{
        edge::Protocol,
        lifecycle::{Signals, wait_for_shutdown},
        options::GatewayOptions,
        path_check::check_lost_paths,
        peers,
        serve::{answer_caller, answer_host_call, serve_tunnels},
        standstill,
        state::GatewayState,
        sync,
    },
    eyre::WrapErr,
    futures::future::pending,
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tealshore_core::http::{ServerOptions, bind, serve},
    tokio::net::TcpListener,
};

/// Time limit for receiving the head of a request, including the idle time between two requests
/// of a connection: longer than the limit that callers are told.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(60);
/// The largest request head that is accepted from a caller, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Installs the signal handlers and runs a host until it is stopped by a signal.
///
/// # Errors
/// An address can't be bound, the state can't be created, or a signal handler can't be installed.
pub async fn run(options: GatewayOptions, protocol: Arc<dyn Protocol>) -> eyre::Result<()> {
    let signals = Signals::install().wrap_err("cannot install signal handlers")?;
    run_with_signals(options, protocol, signals).await
}

/// Runs a host until it is stopped by one of these signals.
///
/// # Errors
/// An address can't be bound, or the state can't be created.
pub async fn run_with_signals(
    options: GatewayOptions,
    protocol: Arc<dyn Protocol>,
    signals: Signals,
) -> eyre::Result<()> {
    let host = options.host.clone();
    let caller_listener = listen("callers_address", host.callers_address).await?;
    let state = Arc::new(GatewayState::new(options, protocol)?);
    let mut bound_addresses = Vec::new();
    for (key, address) in [
        ("directory_address", host.directory_address),
        ("readiness_address", host.readiness_address),
        ("metrics_address", host.metrics_address),
    ] {
        if !bound_addresses.contains(&address) {
            let listener = listen(key, address).await?;
            tokio::spawn(serve_host_calls(state.clone(), listener));
            bound_addresses.push(address);
        }
    }
    let peer_socket = peers::start(&state).await.wrap_err_with(|| {
        format!(
            "cannot listen on [peers] address = {}",
            state.options.peers.address
        )
    })?;
    if let Some(address) = state.options.peers.tunnel_address {
        let (listener, _) = bind(address)
            .await
            .wrap_err_with(|| format!("cannot listen on [peers] tunnel_address = {address}"))?;
        tokio::spawn(serve_tunnels(state.clone(), listener));
    }
    sync::start(&state, &peer_socket);
    tokio::spawn(standstill::watch(state.clone()));
    tokio::spawn(check_lost_paths(state.clone()));
    log::info!(
        "start: host={} hall={} callers={} version={}",
        host.id,
        host.hall,
        host.callers_address,
        env!("CARGO_PKG_VERSION")
    );
    let server = ServerOptions {
        max_connections: host.max_connections,
        header_read_timeout: HEADER_READ_TIMEOUT,
        max_header_bytes: MAX_HEADER_BYTES,
        ..ServerOptions::default()
    };
    let handler = {
        let (state, connection) = (state.clone(), state.in_flight.connections());
        move |request| answer_caller(state.clone(), connection.last_answer(), request)
    };
    let serving = async {
        let close = state.stop.wait_for_close();
        serve(caller_listener, server, handler, close).await;
        state.stop.record_closed();
        pending::<Infallible>().await
    };
    tokio::select! {
        never = serving => match never {},
        () = wait_for_shutdown(state.clone(), signals) => Ok(()),
    }
}

async fn listen(key: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    let result = bind(address).await;
    let (listener, _) =
        result.wrap_err_with(|| format!("cannot listen on [host] {key} = {address}"))?;
    Ok(listener)
}

async fn serve_host_calls(state: Arc<GatewayState>, listener: TcpListener) {
    let handler = move |request| answer_host_call(state.clone(), request);
    let options = ServerOptions {
        header_read_timeout: HEADER_READ_TIMEOUT,
        ..ServerOptions::default()
    };
    serve(listener, options, handler, pending()).await;
}
