//! What all tasks of one sidecar share: the engine's dispatcher, and the state of the sockets around it.
//!
//! This module lies beneath those that drive the sockets; the effects that the engine asks for are in
//! `transport`.

use crate::client_table::ClientTable;
use crate::pod_client::PodClient;
use crate::vote_queue::VoteQueue;
use bytes::Bytes;
use havenplank::interface::{Nanos, RouteClass, VoteSettings};
use havenplank_sidecar::dispatcher::Dispatcher;
use http_body_util::Full;
use std::cell::Cell;

/// The body of a response to a client.
pub(crate) type Body = Full<Bytes>;

/// The platform around the engine.
pub(crate) struct Platform {
    /// Route classes by name, at the index that the engine knows them by.
    pub(crate) route_classes: Vec<(String, RouteClass)>,
    /// Tenants' names, at the index that the engine knows them by.
    pub(crate) tenants: Vec<String>,
    pub(crate) vote_settings: VoteSettings,
    /// How long before a request's deadline its response must leave.
    pub(crate) response_margin: Nanos,
    pub(crate) clients: ClientTable,
    pub(crate) pods: PodClient,
    pub(crate) votes: VoteQueue,
    /// Whether the process was told to stop.
    pub(crate) stopping: Cell<bool>,
}

/// One engine and the platform around it.
pub(crate) type Shell = Dispatcher<Platform>;
