//! The HTTP interface of the engine.

use {
    super::batch::{Batch, EngineOptions, ReadResult},
    crate::{bounds::server_options, model::token_text, reply},
    bytes::Bytes,
    futures::stream,
    http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::{Frame, Incoming},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{future::pending, sync::Arc, time::Duration},
    tealshore_core::{
        http::{Body, BodyError, serve as serve_http},
        ids::{Position, StreamId},
    },
    tealshore_engines::wire::{
        CancelResponse, DONE, GENERATE_PATH, GenerateRequest, LOAD_PATH, Refusal, STREAMS_PATH,
        StreamChoice, StreamEvent,
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{MissedTickBehavior, interval},
    },
};

/// Injected faults of an engine, set at `/control/faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Refuses new orders.
    pub refuse: bool,
    /// Reports that it is leaving, and refuses new orders.
    pub leaving: bool,
    /// Exits in the middle of the event at this position.
    pub die_at: Option<Position>,
    /// Sends the token at this position twice.
    pub repeat_at: Option<Position>,
    /// Omits the token at this position.
    pub skip_at: Option<Position>,
    /// Ends complete streams without the final event.
    pub no_end: bool,
}

struct Engine {
    batch: Mutex<Batch>,
    faults: Mutex<EngineFaults>,
}

type Shared = Arc<Engine>;

/// Serves requests until the process ends.
pub async fn serve(listener: TcpListener, options: EngineOptions) {
    let engine = Arc::new(Engine {
        batch: Mutex::new(Batch::new(options)),
        faults: Mutex::default(),
    });
    tokio::spawn(run_steps(engine.clone(), options));
    let handler = move |request| handle(engine.clone(), request);
    serve_http(listener, server_options(), handler, pending()).await;
}

async fn run_steps(engine: Shared, options: EngineOptions) {
    let mut steps = interval(options.step);
    // An engine that was suspended continues where it stopped and does not catch up on missed steps.
    steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        steps.tick().await;
        engine.batch.lock().step();
    }
}

async fn handle(engine: Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, GENERATE_PATH) => generate(engine, request).await,
        (Method::GET, LOAD_PATH) => {
            let mut report = engine.batch.lock().load();
            report.leaving = engine.faults.lock().leaving;
            reply::json(StatusCode::OK, &report)
        }
        (Method::GET, "/control/work") => reply::json(StatusCode::OK, engine.batch.lock().work()),
        (Method::PUT, "/control/faults") => match reply::read_json(request).await {
            Ok(faults) => {
                *engine.faults.lock() = faults;
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(answer) => answer,
        },
        (method, path) => match path.strip_prefix(STREAMS_PATH) {
            Some(stream) if method == Method::GET => attach(engine, stream, &request),
            Some(stream) if method == Method::DELETE => cancel(&engine, stream, &request),
            _ => reply::status(StatusCode::NOT_FOUND),
        },
    }
}

async fn generate(engine: Shared, request: Request<Incoming>) -> Response<Body> {
    let order: GenerateRequest = match reply::read_json(request).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    let refuses_work = {
        let faults = engine.faults.lock();
        faults.refuse || faults.leaving
    };
    if refuses_work {
        return reply::json(
            StatusCode::SERVICE_UNAVAILABLE,
            &Refusal {
                error: "no new work".to_owned(),
            },
        );
    }
    let stream = order.stream_id.clone();
    let from = order.received.len() as Position;
    if !engine.batch.lock().submit(order) {
        return reply::json(
            StatusCode::CONFLICT,
            &Refusal {
                error: "the stream exists or was cancelled".to_owned(),
            },
        );
    }
    read_stream(engine, stream, from)
}

fn attach(engine: Shared, stream: &str, request: &Request<Incoming>) -> Response<Body> {
    let from = reply::query(request, "from")
        .and_then(|from| from.parse().ok())
        .unwrap_or(0);
    if !engine.batch.lock().has_position(&stream.to_owned(), from) {
        return reply::status(StatusCode::NOT_FOUND);
    }
    read_stream(engine, stream.to_owned(), from)
}

fn cancel(engine: &Shared, stream: &str, request: &Request<Incoming>) -> Response<Body> {
    let stream = stream.to_owned();
    let mut batch = engine.batch.lock();
    if reply::query(request, "unread").is_some() && batch.has_reader(&stream) {
        return reply::status(StatusCode::CONFLICT);
    }
    let started = batch.cancel(&stream);
    reply::json(StatusCode::OK, &CancelResponse { started })
}

/// A reader of a stream, which the batch counts until it is dropped.
struct Reader {
    engine: Shared,
    stream: StreamId,
    position: Position,
    progress: watch::Receiver<u64>,
    finished: bool,
    exiting: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.batch.lock().close_reader(&self.stream);
    }
}

fn read_stream(engine: Shared, stream: StreamId, position: Position) -> Response<Body> {
    let Some(progress) = engine.batch.lock().open_reader(&stream) else {
        return reply::status(StatusCode::NOT_FOUND);
    };
    let reader = Reader {
        engine,
        stream,
        position,
        progress,
        finished: false,
        exiting: false,
    };
    let events = stream::unfold(reader, |mut reader| async move {
        let event = reader.next().await?;
        Some((Ok::<_, BodyError>(Frame::data(event)), reader))
    });
    let mut answer = Response::new(StreamBody::new(events).boxed_unsync());
    answer.headers_mut().insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    answer
}

impl Reader {
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            if self.exiting {
                exit_after_flush().await;
            }
            if self.finished {
                return None;
            }
            let reading = self
                .engine
                .batch
                .lock()
                .read_at(&self.stream, self.position);
            match reading {
                ReadResult::Token(token) => {
                    let choice = StreamChoice {
                        text: token_text(token),
                        token_ids: vec![token],
                        finish_reason: None,
                    };
                    return Some(self.token_event(choice));
                }
                ReadResult::End(_) if self.engine.faults.lock().no_end => return None,
                ReadResult::End(position) => return Some(self.end_event(position, "length")),
                ReadResult::Aborted(position) => return Some(self.end_event(position, "abort")),
                ReadResult::Pending => self.progress.changed().await.ok()?,
                ReadResult::UnknownStream => return None,
            }
        }
    }

    fn end_event(&mut self, position: Position, reason: &str) -> Bytes {
        self.finished = true;
        let choice = StreamChoice {
            finish_reason: Some(reason.to_owned()),
            ..StreamChoice::default()
        };
        let end = encode(&self.stream, position, choice);
        Bytes::from(format!("{end}data: {DONE}\n\n"))
    }

    fn token_event(&mut self, choice: StreamChoice) -> Bytes {
        let faults = self.engine.faults.lock().clone();
        let event = encode(&self.stream, self.position, choice);
        let at = Some(self.position);
        self.position += 1;
        if faults.die_at == at {
            self.exiting = true;
            return Bytes::copy_from_slice(&event.as_bytes()[..event.len() / 2]);
        }
        if faults.skip_at == at {
            return Bytes::new();
        }
        if faults.repeat_at == at {
            return Bytes::from(format!("{event}{event}"));
        }
        Bytes::from(event)
    }
}

/// Exits the process after a delay that lets the truncated event reach the socket.
async fn exit_after_flush() {
    const TIME_TO_FLUSH: Duration = Duration::from_millis(20);
    tokio::time::sleep(TIME_TO_FLUSH).await;
    std::process::exit(i32::from(tealshore_core::exit::FAILED));
}

fn encode(stream: &StreamId, position: Position, choice: StreamChoice) -> String {
    let event = StreamEvent {
        id: stream.clone(),
        position,
        choices: vec![choice],
    };
    let data = serde_json::to_string(&event).unwrap_or_default();
    format!("id: {position}\ndata: {data}\n\n")
}
