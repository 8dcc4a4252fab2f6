//! Starts an entry host and runs it until its planned stop is complete.

use {
    crate::{
        collect, options::RouterOptions, serve, show, shutdown::run_planned_stop,
        state::RouterState,
    },
    eyre::WrapErr,
    futures::future::pending,
    std::sync::Arc,
    tealshore_core::http::{ServerOptions, bind, serve as serve_http},
    tealshore_peers::PeerServer,
};

/// Runs an entry host.
///
/// # Errors
/// Returns an error if the settings are invalid or an address cannot be bound.
pub async fn run(options: RouterOptions) -> eyre::Result<()> {
    let host = options.host.clone();
    let callers_options = ServerOptions {
        max_connections: options.callers.max_connections,
        ..ServerOptions::default()
    };
    let (callers, callers_address) = bind(host.callers_address)
        .await
        .wrap_err_with(|| format!("[host] callers_address = {}", host.callers_address))?;
    let (operators, operators_address) = bind(host.operators_address)
        .await
        .wrap_err_with(|| format!("[host] operators_address = {}", host.operators_address))?;
    let state = Arc::new(RouterState::new(options)?);
    let peer_server = PeerServer::new(state.locations.clone(), state.clone());
    let peers_address = tealshore_peers::serve(host.peers_address, peer_server)
        .await
        .wrap_err_with(|| format!("[host] peers_address = {}", host.peers_address))?;
    println!(
        "listening callers={callers_address} peers={peers_address} operators={operators_address}"
    );
    collect::start(&state);
    tokio::spawn(serve_http(
        operators,
        ServerOptions::default(),
        {
            let state = state.clone();
            move |request| show::handle(state.clone(), request)
        },
        pending(),
    ));
    let stopped = {
        let state = state.clone();
        async move {
            if let Err(error) = run_planned_stop(state).await {
                log::error!("stop: failed to install the signal handlers: {error}");
                pending::<()>().await;
            }
        }
    };
    serve_http(
        callers,
        callers_options,
        move |request| serve::handle(state.clone(), request),
        stopped,
    )
    .await;
    Ok(())
}
