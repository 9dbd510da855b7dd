//! Requirements of the platform's protocol, one test each, between scripted peers on loopback.

mod common;

use common::{
    accept_follow, get, parse_config, request, run_test, wait_until_reusable, Rig, OK, OK_CLOSE,
    UNPROCESSED,
};
use havenplank_emulator::scripted::{
    chunk, configuration, entry, header, list, Connection, ScriptedServer, WATCH,
};
use havenplank_platform::{Command, Config};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn a_request_is_forwarded_unchanged_and_its_time_counts_from_its_first_byte() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, request) = (
            rig.client().await,
            request("POST /mark/a?b=1", "i1", "idempotency-key: k\r\n", "{body}"),
        );
        client.send(&request[..9]).await.unwrap();
        sleep(Duration::from_millis(150)).await;
        client.send(&request[9..]).await.unwrap();
        let mut pod = rig.pod.accept().await.unwrap();
        let (head, body) = pod.message().await.unwrap();
        assert!(head.starts_with("post /mark/a?b=1 http/1.1\n"), "{head}");
        let sent = ["x-correlation-id", "idempotency-key"].map(|name| header(&head, name));
        assert_eq!((sent, body.as_str()), ([Some("i1"), Some("k")], "{body}"));
        // The sidecar waits for the pod until the target latency, but no longer than the client waits.
        let left: u64 = header(&head, "x-time-left-ms").unwrap().parse().unwrap();
        assert!(left <= 400, "{left}");
        pod.send(OK).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        // With 300 ms left, of which 150 pass before the request is complete, less than 150 remain.
        let short = request.replace("i1", "i2").replace("800", "300");
        client.send(&short[..9]).await.unwrap();
        sleep(Duration::from_millis(150)).await;
        client.send(&short[9..]).await.unwrap();
        let (head, _) = pod.message().await.unwrap();
        let left: u64 = header(&head, "x-time-left-ms").unwrap().parse().unwrap();
        assert!(left < 150, "{left}");
    });
}

#[test]
fn a_client_that_closes_ends_its_attempt() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (client, mut pod) = rig.request(&get("i1")).await;
        drop(client);
        assert!(pod.closes_in_time().await);
    });
}

#[test]
fn an_invalid_request_gets_an_error_and_a_close_and_reaches_no_pod() {
    run_test(async {
        // One request stays in flight throughout the test.
        let rig = Rig::new(|config| {
            for class in config["settings"]["classes"].as_array_mut().unwrap() {
                (class["onTimeNs"], class["giveUpNs"]) =
                    (json!(60_000_000_000u64), json!(90_000_000_000u64));
            }
        })
        .await;
        let (mut busy, mut pod) = rig.request(&get("busy").replace("800", "60000")).await;
        let post = |extra_headers: &str| {
            request(
                "POST /mark",
                "i",
                &format!("idempotency-key: k\r\n{extra_headers}"),
                "",
            )
        };
        let bad = [
            "no http at all\r\n\r\n".to_string(),
            format!("GET /read HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(40_000)),
            get("i").replace("x-correlation-id", "x-other"),
            get("busy"),
            get("i").replace("800", "soon"),
            get("i").replace("800", "-5"),
            get("i").replace("x-time-left-ms: 800\r\n", ""),
            request("GET /unknown", "i", "", ""),
            request("POST /read", "i", "", "x"),
            request("GET /read", "i", "", "x"),
            request("POST /mark", "i", "", "x"),
            post("content-length: -1\r\n"),
            post("content-length: 62914560\r\n"),
            post("content-length: 99999999999999999999999\r\n"),
            post("content-length: 1\r\ncontent-length: 2\r\n"),
            post("transfer-encoding: chunked\r\n") + "0\r\n\r\n",
            post("content-length: 4\r\ntransfer-encoding: chunked\r\n")
                + "0\r\n\r\nGET /read HTTP/1.1\r\n\r\n",
        ];
        for bytes in bad {
            let mut client = rig.client().await;
            // The sidecar may reject it before its last byte is written.
            let _ = client.send(&bytes).await;
            let (status, ..) = client
                .answer()
                .await
                .unwrap_or_else(|error| panic!("{bytes:.90}: {error}"));
            assert!((400..500).contains(&status), "{status} to {bytes:.90}");
            assert!(client.closes_in_time().await, "{bytes:.90}");
        }
        // An incomplete request that is not continued.
        let mut half = rig.client().await;
        half.send("POST /mark HTTP/1.1\r\ncontent-le")
            .await
            .unwrap();
        assert!(half.closes_in_time().await);
        assert!(rig.pod.has_no_pending_connection().await);
        pod.send(OK).await.unwrap();
        assert_eq!(busy.answer().await.unwrap().0, 200);
        // Its correlation id can be used again.
        wait_until_reusable().await;
        busy.send(get("busy")).await.unwrap();
        pod.message().await.unwrap();
    });
}

#[test]
fn silent_connections_are_evicted_before_any_with_a_request() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut busy, mut pod) = rig.request(&get("busy")).await;
        let mut silent = Vec::new();
        for _ in 0..60 {
            silent.push(rig.client().await);
        }
        let mut client = rig.client().await;
        client.send("GET /healthz HTTP/1.1\r\n\r\n").await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        pod.send(OK).await.unwrap();
        assert_eq!(busy.answer().await.unwrap().0, 200);
        for mut client in silent {
            assert!(client.closes_in_time().await);
        }
    });
}

#[test]
fn clients_that_stay_idle_after_one_request_do_not_hold_all_connections() {
    run_test(async {
        let rig = Rig::new(|config| config["limits"]["sockets"] = json!(128)).await;
        let mut stayed = Vec::new();
        for _ in 0..40 {
            let mut client = rig.client().await;
            client.send("GET /healthz HTTP/1.1\r\n\r\n").await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            stayed.push(client);
        }
        // Four fifths of a third of 128 are 34, and the listener accepts 45: the first closes long before it has been
        // idle for 2 s.
        let first = tokio::time::timeout(Duration::from_secs(1), stayed[0].closes_in_time()).await;
        assert!(first.expect("closed immediately"));
    });
}

/// Each response of a pod, with the status that the client of a non-idempotent request gets. 503 promises that the
/// request never ran.
#[test]
fn each_response_of_a_pod_has_its_outcome() {
    let cases = [
        (OK.to_string(), 200),
        (
            format!("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\nx: y\r\n\r\n{OK}"),
            200,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
                .to_string(),
            200,
        ),
        (UNPROCESSED.to_string(), 503),
        (UNPROCESSED.replace("503", "504"), 503),
        (UNPROCESSED.replace("x-unprocessed: 1\r\n", ""), 502),
        (UNPROCESSED.replace("503", "500"), 502),
        ("\u{1}noise\r\n\r\n".to_string(), 502),
        (format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(20_000)), 502),
        (OK.replace(": 2", ": 3"), 502),
        (OK.replace(": 2", ": -2"), 502),
        (OK.replace(": 2", ": 3000000000"), 502),
        (
            OK.replace(
                "content-length: 2",
                "content-length: 2\r\ncontent-length: 1",
            ),
            502,
        ),
        (OK.replace("content-length: 2\r\n", ""), 502),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nok\r\n".to_string(),
            502,
        ),
        (String::new(), 502),
    ];
    run_test(async {
        for (response, expected_status) in cases {
            let rig =
                Rig::new(|config| config["settings"]["limits"]["maxAttempts"] = json!(1)).await;
            let (mut client, mut pod) = rig.request(&request("POST /write", "i", "", "x")).await;
            pod.send(&response).await.unwrap();
            // The sidecar would wait for the rest of an incomplete response; closing ends it.
            drop(pod);
            let (status, _, body) = client.answer().await.unwrap();
            assert_eq!(status, expected_status, "{response:.60}");
            assert_eq!(status == 200, body == "ok", "{response:.60}");
            assert!(
                rig.pod.has_no_pending_connection().await,
                "sent again after {response:.60}"
            );
        }
        // Nothing listens at the address of the pod: the request never ran.
        let rig =
            Rig::new(|config| config["known"]["hosts"][0]["dial"] = json!("127.0.0.1:1")).await;
        let mut client = rig.client().await;
        client
            .send(request("POST /write", "i", "", "x"))
            .await
            .unwrap();
        let (status, head, _) = client.answer().await.unwrap();
        assert_eq!((status, header(&head, "retry-after")), (503, Some("1.500")));
    });
}

#[test]
fn a_malformed_load_report_does_not_affect_its_response() {
    run_test(async {
        let report = json!({"how": "piggyback", "columns": ["busy_reqs"]});
        let rig = Rig::new(|config| config["settings"]["loadReport"] = report).await;
        let (mut client, mut pod) = rig.request(&get("i0")).await;
        for (n, report) in [
            "{\"busy_reqs\": 3}",
            "{\"busy_reqs\": \"x\"}",
            "{",
            "\u{ff}",
            "",
        ]
        .iter()
        .enumerate()
        {
            pod.send(OK.replace("\r\n\r\n", &format!("\r\nx-backend-load: {report}\r\n\r\n")))
                .await
                .unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200, "{report}");
            // The next request uses the same connection.
            wait_until_reusable().await;
            client.send(get(&format!("i{}", n + 1))).await.unwrap();
            pod.message().await.unwrap();
        }
    });
}

#[test]
fn a_response_over_the_protocol_limit_is_delivered_completely() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, mut pod) = rig.request(&get("i1")).await;
        let body = "y".repeat(400_000);
        pod.send(format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 400000\r\n\r\n{body}"
        ))
        .await
        .unwrap();
        let (status, _, got) = client.answer().await.unwrap();
        assert!(status == 200 && got == body);
    });
}

#[test]
fn a_response_over_the_memory_limit_is_an_error_and_its_connection_is_closed() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, mut pod) = rig.request(&request("POST /write", "i", "", "x")).await;
        pod.send("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n")
            .await
            .unwrap();
        assert_eq!(client.answer().await.unwrap().0, 502);
        assert!(pod.closes_in_time().await);
    });
}

#[test]
fn bytes_after_a_response_are_never_taken_for_the_next_one() {
    run_test(async {
        for late in [false, true] {
            let rig = Rig::new(|_| {}).await;
            let (mut client, mut pod) = rig.request(&get("i1")).await;
            let extra = OK.replace("ok", "no");
            pod.send(if late {
                OK.to_string()
            } else {
                format!("{OK}{extra}")
            })
            .await
            .unwrap();
            assert_eq!(client.answer().await.unwrap().2, "ok");
            if late {
                pod.send(&extra).await.unwrap();
            }
            wait_until_reusable().await;
            client.send(get("i2")).await.unwrap();
            let mut other = rig.pod.accept().await.unwrap();
            other.message().await.unwrap();
            other.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().2, "ok");
            // A connection without extra bytes is kept.
            wait_until_reusable().await;
            client.send(get("i3")).await.unwrap();
            other.message().await.unwrap();
            other.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
        }
    });
}

#[test]
fn an_idle_connection_is_closed_before_the_pod_closes_it() {
    run_test(async {
        let rig =
            Rig::new(|config| config["settings"]["limits"]["connIdleNs"] = json!(400_000_000))
                .await;
        let (mut client, mut pod) = rig.request(&get("i1")).await;
        pod.send(OK).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        sleep(Duration::from_millis(300)).await;
        client.send(get("i2")).await.unwrap();
        let mut other = rig.pod.accept().await.unwrap();
        other.message().await.unwrap();
        assert!(pod.closes_in_time().await);
    });
}

#[test]
fn the_endpoint_list_is_followed_after_a_malformed_update_and_when_pods_move() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut watch = rig.discovery.accept().await.unwrap();
        assert!(watch
            .message()
            .await
            .unwrap()
            .0
            .starts_with("get /v1/servers?follow=1&since=3 "));
        let other = ScriptedServer::new().await.unwrap();
        let moved = entry("p", other.address().unwrap(), 7, "active");
        watch
            .send(WATCH.to_string() + &chunk(&list(5, false, &[moved])))
            .await
            .unwrap();
        watch
            .send(chunk("{\"seq\": 6, \"hosts\": [{}]}\n"))
            .await
            .unwrap();
        assert!(watch.closes_in_time().await);
        // The next watch starts at the version of the last valid update, which is applied: the pod has moved.
        let mut watch = rig.discovery.accept().await.unwrap();
        assert!(watch.message().await.unwrap().0.contains("since=5 "));
        let mut client = rig.client().await;
        client.send(get("i1")).await.unwrap();
        let mut pod = other.accept().await.unwrap();
        pod.message().await.unwrap();
        pod.send(OK).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        assert!(rig.pod.has_no_pending_connection().await);
        // An update may arrive in pieces; a complete list removes pods that it does not contain.
        let back = entry("q", rig.pod.address().unwrap(), 7, "active");
        let complete = list(9, true, &[back]);
        watch
            .send(
                WATCH.to_string()
                    + &chunk(&complete[..20])
                    + &chunk(&complete[20..])
                    + &chunk("\n"),
            )
            .await
            .unwrap();
        // Idle connections to an address without a listed pod are closed.
        assert!(pod.closes_in_time().await);
        client.send(get("i2")).await.unwrap();
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
    });
}

/// Reports faults of the pod, which runs build 7, and returns the vote against the build that follows.
async fn provoke_vote(session: &mut Connection) -> Value {
    let stage = json!({"image": 7, "ring": 0, "progress": "canary", "ceiling": 0.5, "lag_ms": 0});
    let fault = json!({"host": "p", "type": "read", "lag_ms": 5});
    let mut lines =
        json!({"jsonrpc": "2.0", "method": "progress", "params": stage}).to_string() + "\n";
    for _ in 0..40 {
        lines +=
            &(json!({"jsonrpc": "2.0", "method": "complaint", "params": fault}).to_string() + "\n");
    }
    session.send(lines).await.unwrap();
    serde_json::from_str(&session.line().await.unwrap()).unwrap()
}

#[test]
fn votes_are_cast_again_after_a_malformed_rejecting_or_missing_reply() {
    run_test(async {
        let older = ScriptedServer::new().await.unwrap();
        let host = entry("o", older.address().unwrap(), 6, "active");
        let rig =
            Rig::new(|config| config["known"]["hosts"].as_array_mut().unwrap().push(host)).await;
        // Both builds get requests; without them the sequential test has nothing to compare.
        for (n, pod) in [(0, &rig.pod), (1, &rig.pod), (2, &rig.pod)] {
            let mut client = rig.client().await;
            client.send(get(&format!("i{n}"))).await.unwrap();
            let mut pod =
                tokio::select! { pod = pod.accept() => pod, pod = older.accept() => pod }.unwrap();
            pod.message().await.unwrap();
            pod.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
        }
        let mut session = accept_follow(&rig.control_plane).await;
        let call = provoke_vote(&mut session).await;
        assert_eq!(
            (&call["method"], &call["params"]["image"]),
            (&json!("castBallot"), &json!(7))
        );
        assert_eq!(call["params"]["opinion"], "back");
        // The reply is malformed, so the vote may have counted. It is cast again in the next session.
        session
            .send("{\"jsonrpc\":\"2.0\",\"id\":\n")
            .await
            .unwrap();
        assert!(session.closes_in_time().await);
        let mut session = accept_follow(&rig.control_plane).await;
        let again: Value = serde_json::from_str(&session.line().await.unwrap()).unwrap();
        assert_eq!(again["params"], call["params"]);
        let throttled = json!({"jsonrpc": "2.0", "id": again["id"], "error": {"code": 1, "message": "throttled"}});
        session.send(format!("{throttled}\n")).await.unwrap();
        let third: Value = serde_json::from_str(&session.line().await.unwrap()).unwrap();
        assert_eq!(third["params"], call["params"]);
        assert_ne!(third["id"], again["id"]);
        // No reply and no other line: votes that the sidecar writes each second do not show that the control
        // plane is alive.
        session.line().await.unwrap();
        assert!(session.closes_in_time().await);
    });
}

#[test]
fn a_silent_control_plane_is_reconnected() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut session = accept_follow(&rig.control_plane).await;
        assert!(session.closes_in_time().await);
        accept_follow(&rig.control_plane).await;
    });
}

#[test]
fn a_reload_opens_the_new_connections_before_the_old_ones_close() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = rig.discovery.accept().await.unwrap();
        old.message().await.unwrap();
        let here = entry("p", rig.pod.address().unwrap(), 7, "active");
        old.send(WATCH.to_string() + &chunk(&list(4, false, &[])))
            .await
            .unwrap();
        let (discovery, control_plane) = (
            ScriptedServer::new().await.unwrap(),
            ScriptedServer::new().await.unwrap(),
        );
        let config = configuration(
            discovery.address().unwrap(),
            control_plane.address().unwrap(),
            &[here],
        );
        let (mut client, mut pod) = rig.request(&get("i0")).await;
        pod.send(OK).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        rig.commands
            .send(Command::Reload(Box::new(parse_config(&config))))
            .await
            .ok()
            .unwrap();
        let mut new = discovery.accept().await.unwrap();
        assert!(new.message().await.unwrap().0.contains("since=4 "));
        accept_follow(&control_plane).await;
        // Updates on the old watch still apply until the new one delivers a message.
        let [other, third] =
            [ScriptedServer::new().await, ScriptedServer::new().await].map(Result::unwrap);
        for to in [&other, &third] {
            let moved = entry("p", to.address().unwrap(), 7, "active");
            old.send(chunk(&list(5, false, &[moved]))).await.unwrap();
            assert!(pod.closes_in_time().await);
            client.send(get("i1")).await.unwrap();
            pod = to.accept().await.unwrap();
            pod.message().await.unwrap();
            pod.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
        }
        new.send(WATCH.to_string() + &chunk("\n")).await.unwrap();
        assert!(old.closes_in_time().await);
    });
}

#[test]
fn a_stop_answers_requests_in_flight_and_those_that_still_arrive() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, mut pod) = rig.request(&get("i1")).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        let mut late = rig.client().await;
        late.send("GET /healthz HTTP/1.1\r\n\r\n").await.unwrap();
        assert_eq!(late.answer().await.unwrap().0, 503);
        pod.send(OK).await.unwrap();
        let (status, head, _) = client.answer().await.unwrap();
        assert_eq!((status, header(&head, "connection")), (200, Some("close")));
        wait_until_reusable().await;
        let mut late = rig.client().await;
        late.send(get("i2")).await.unwrap();
        pod.message().await.unwrap();
        pod.send(OK).await.unwrap();
        assert_eq!(late.answer().await.unwrap().0, 200);
        rig.ended.await.unwrap();
    });
}

/// With the setting for sticky keys, requests with the same key stay on the newest build once it has answered one.
#[test]
fn requests_with_a_key_stay_on_the_newest_build_once_it_has_answered() {
    run_test(async {
        let newer = ScriptedServer::new().await.unwrap();
        let host = entry("q", newer.address().unwrap(), 8, "active");
        let rig = Rig::new(|config| {
            config["known"]["hosts"].as_array_mut().unwrap().push(host);
            config["settings"]["familyInfo"]["oneWay"] = json!(true);
            config["settings"]["familyInfo"]["mostShares"] = json!([1.0]);
            config["settings"]["orgs"] = json!([{"name": "t", "share": 1.0, "quotaRps": 100.0}]);
            let stage = json!({"image": 8, "ring": 0, "progress": "canary", "ceiling": 1.0, "lag_ms": 9000});
            config["deployer"]["news"] = stage;
        })
        .await;
        let (mut answered, mut later_requests) = (false, 0);
        for n in 0..60 {
            let extra_headers = "cookie: other=1; sid=k1\r\nx-account: t\r\nx-weight-hint: 5\r\n";
            let mut client = rig.client().await;
            client
                .send(request("GET /read", &format!("i{n}"), extra_headers, ""))
                .await
                .unwrap();
            let (mut pod, is_newer) = tokio::select! {
                pod = rig.pod.accept() => (pod.unwrap(), false),
                pod = newer.accept() => (pod.unwrap(), true),
            };
            assert!(
                is_newer || !answered,
                "request {n} went back to the earlier build"
            );
            pod.message().await.unwrap();
            pod.send(OK_CLOSE).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            answered |= is_newer;
            later_requests += answered as u32;
        }
        assert!(later_requests > 20, "{later_requests}");
    });
}

#[test]
fn an_invalid_configuration_is_rejected_with_the_name_of_its_field() {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let config = configuration(address, address, &[]);
    for (path, value, field) in [
        ("/listen", json!("here"), "listen"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/sockets", json!(u64::MAX / 4), "limits.sockets"),
        ("/limits/memory_mb", json!(1), "limits.memory_mb"),
        ("/deployer/news/progress", json!("soon"), "progress"),
        (
            "/settings/classes/0/semantics",
            json!("odd"),
            "settings.classes[0].semantics",
        ),
        ("/known/hosts", json!(5), "hosts"),
    ] {
        let mut config = config.clone();
        *config.pointer_mut(path).unwrap() = value;
        let error = Config::parse(config.to_string().as_bytes())
            .err()
            .expect("the configuration is rejected")
            .to_string();
        assert!(error.contains(field), "{error}");
    }
    assert!(Config::parse(b"{").is_err() && Config::parse(b"[]").is_err());
}
