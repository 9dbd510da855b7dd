//! A request in the form in which it is sent to pods, and the data that protects it from running twice.

use crate::routes::Route;
use crate::takeover_policy::ProtectionState;
use crate::takeover_service::{request_id, TakeoverService};
use bytes::Bytes;
use havenplank_settings::BackupMode;
use havenplank_takeover::record::RequestId;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::cell::Cell;
use std::rc::Rc;

/// A request that is read completely and can be sent any number of times.
pub struct PreparedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// The headers, without those that apply only to the client's connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The route that matched the request. The request is handled by this version of the route, even if the route
    /// changes in the meantime.
    pub route: Rc<Route>,
    /// The protection against running twice; `None` if backups are off for the route or takeover is not configured.
    pub protection: Option<Protection>,
}

impl PreparedRequest {
    /// Returns the path with the query.
    pub fn path(&self) -> &str {
        self.uri.path_and_query().map_or("/", |path| path.as_str())
    }
}

/// Marks a final response that the sidecar generated itself. It is stored as an extension of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// The response says that a retry is harmless.
    Rejected,
    /// The response says that the request may have run.
    Failed,
}

/// When an attempt of a request is announced to its backups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementMode {
    /// The attempt is sent only after the backups know of it.
    BeforeAttempt,
    /// The attempt is sent at once, without waiting until the backups know of it.
    InBackground,
}

/// The data that prevents a request from running twice if its sidecar is lost.
pub struct Protection {
    /// Identifies the request among sidecars.
    pub id: RequestId,
    /// Hash of the content of the request, to detect a different request under the same key.
    pub digest: u64,
    /// The tenant that sent the request, if the configuration has that tenant.
    pub tenant: Option<String>,
    /// Whether the client sent a key, by which a repeat of the request can be recognised.
    pub has_client_key: bool,
    /// When attempts are announced to backups.
    pub announcement: AnnouncementMode,
    /// Whether backups hold the request. Set to false if no backup could be made.
    pub backed_up: Cell<bool>,
    /// Set once an attempt of the request was announced.
    pub announced: Cell<bool>,
}

/// The content of a request, by which different requests under the same key are told apart.
#[derive(Clone, Copy)]
pub struct RequestContent<'a> {
    /// The HTTP method.
    pub method: &'a Method,
    /// The path and the query.
    pub path: &'a str,
    /// The complete body.
    pub body: &'a Bytes,
}

impl Protection {
    /// Creates the protection of a new request. Its id is derived from the route and the client's key, or is generated
    /// if the client sent no key.
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

    /// Creates the protection of a request that was taken over. Its earlier owner may have announced attempts, so
    /// `announced` is set.
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
                BackupMode::InBackground => AnnouncementMode::InBackground,
                BackupMode::BeforeAttempt | BackupMode::Off => AnnouncementMode::BeforeAttempt,
            },
            backed_up: Cell::new(true),
            announced: Cell::new(true),
        }
    }

    /// Returns the current state of the protection.
    pub fn state(&self) -> ProtectionState {
        ProtectionState {
            has_client_key: self.has_client_key,
            announced: self.announced.get(),
            backed_up: self.backed_up.get(),
        }
    }

    /// Returns whether an attempt is sent only after backups know of it.
    pub fn announces_before_attempt(&self) -> bool {
        self.announcement == AnnouncementMode::BeforeAttempt
    }
}

impl AnnouncementMode {
    fn of(route: &Route) -> AnnouncementMode {
        match route.backup {
            BackupMode::BeforeAttempt => AnnouncementMode::BeforeAttempt,
            BackupMode::InBackground | BackupMode::Off => AnnouncementMode::InBackground,
        }
    }
}
