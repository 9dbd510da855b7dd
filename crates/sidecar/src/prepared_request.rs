//! A request as it will be sent to pods, and what protects it from running twice.

use crate::routes::Route;
use crate::takeover_policy::Knowledge;
use crate::takeover_service::{request_id, TakeoverService};
use bytes::Bytes;
use havenplank_settings::BackupMode;
use havenplank_takeover::record::RequestId;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::cell::Cell;
use std::rc::Rc;

/// A request as it will be sent, as often as it must be.
pub struct PreparedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of its client's connection.
    pub headers: HeaderMap,
    /// All of its body.
    pub body: Bytes,
    /// The route that took it: it ends by this version of it, whatever is in force by then.
    pub route: Rc<Route>,
    /// What its backups know it by, where sidecars back each other up.
    pub protection: Option<Protection>,
}

impl PreparedRequest {
    /// Returns its path with its query.
    pub fn path(&self) -> &str {
        self.uri.path_and_query().map_or("/", |path| path.as_str())
    }
}

/// The final answers that a sidecar makes itself; an extension of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// The request never ran.
    Rejected,
    /// The request may have run.
    Failed,
}

/// When backups must know of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementMode {
    /// Before it is sent.
    BeforeAttempt,
    /// Some time; it is sent at once.
    InBackground,
}

/// What keeps a request from running twice though its sidecar is lost.
pub struct Protection {
    /// Names the request among sidecars.
    pub id: RequestId,
    /// Hash of what was asked, to tell another request under the same key.
    pub digest: u64,
    /// The tenant that asks, where it is one of the configuration.
    pub tenant: Option<String>,
    /// Whether the client can name it, and so finds it again.
    pub has_client_key: bool,
    /// When its backups must know of an attempt.
    pub announcement: AnnouncementMode,
    /// Cleared where nobody backs it up after all.
    pub backed_up: Cell<bool>,
    /// Set once some attempt of it was announced.
    pub announced: Cell<bool>,
}

/// What a request is told apart by.
#[derive(Clone, Copy)]
pub struct RequestContent<'a> {
    /// Its method.
    pub method: &'a Method,
    /// Its path and query.
    pub path: &'a str,
    /// All of its body.
    pub body: &'a Bytes,
}

impl Protection {
    /// Protects a request under its client's key, or under an id of its own within its route.
    pub fn new(
        service: &TakeoverService,
        route: &Route,
        tenant: Option<String>,
        client_key: Option<&HeaderValue>,
        content: RequestContent<'_>,
    ) -> Protection {
        let RequestContent { method, path, body } = content;
        let key = client_key.map(|key| request_id(&[route.name.as_bytes(), key.as_bytes()]));
        let digest = request_id(&[method.as_str().as_bytes(), path.as_bytes(), body]) as u64;
        Protection {
            id: key.unwrap_or_else(|| service.generate_request_id()),
            digest,
            tenant,
            has_client_key: key.is_some(),
            announcement: AnnouncementMode::of(route),
            backed_up: Cell::new(true),
            announced: Cell::new(false),
        }
    }

    /// Protects a request that was taken over: the sidecar that had it may have announced it.
    pub fn taken_over(
        id: RequestId,
        digest: u64,
        tenant: Option<String>,
        route: &Route,
    ) -> Protection {
        Protection {
            id,
            digest,
            tenant,
            has_client_key: false,
            announcement: match route.backup {
                BackupMode::Behind => AnnouncementMode::InBackground,
                BackupMode::BeforeAttempt | BackupMode::Off => AnnouncementMode::BeforeAttempt,
            },
            backed_up: Cell::new(true),
            announced: Cell::new(true),
        }
    }

    /// Returns what is known of the request now.
    pub fn knowledge(&self) -> Knowledge {
        Knowledge {
            has_client_key: self.has_client_key,
            announced: self.announced.get(),
            backed_up: self.backed_up.get(),
        }
    }

    /// Returns whether attempts wait until backups know of them.
    pub fn announces_before_attempt(&self) -> bool {
        self.announcement == AnnouncementMode::BeforeAttempt
    }
}

impl AnnouncementMode {
    fn of(route: &Route) -> AnnouncementMode {
        match route.backup {
            BackupMode::BeforeAttempt => AnnouncementMode::BeforeAttempt,
            BackupMode::Behind | BackupMode::Off => AnnouncementMode::InBackground,
        }
    }
}
