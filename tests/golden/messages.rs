// Returns one message of each kind that controllers exchange. The production version encoded
// `messages.hex` from these values. Some of its types and fields had other names, but bitcode
// stores no names.
fn messages() -> Vec<PeerMessage> {
    let heartbeat = || Heartbeat {
        machine: "n-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 3,
        sequence: 88,
        fencing_token: 41,
        notice_s: Some(7.5),
        tasks: vec![
            TaskStatus {
                task: "run-000412/3".into(),
                attempt: 2,
                phase: TaskPhase::Running,
                cause: None,
            },
            TaskStatus {
                task: "run-000398/0".into(),
                attempt: 1,
                phase: TaskPhase::Exited,
                cause: Some(Cause::Done),
            },
        ],
    };
    let commands = || {
        vec![
            AgentCommand::Start {
                task: "run-000412/4".into(),
                attempt: 2,
            },
            AgentCommand::Stop {
                task: "run-000377/1".into(),
                attempt: 1,
                grace_s: 10.0,
            },
            AgentCommand::Forget {
                task: "run-000398/0".into(),
                attempt: 1,
            },
        ]
    };
    vec![
        PeerMessage::Alive {
            node: "worker-1".into(),
            term: 41,
            store_verified: true,
            leads: false,
            changes_per_1000_s: 1500,
            agent_count: 17,
            sent_at_us: 86_400_123_456,
            links: vec![],
        },
        PeerMessage::Progress(vec![Progress {
            id: "run-000412".into(),
            done: 3,
            running: 13,
        }]),
        PeerMessage::Heartbeat {
            node: "worker-1".into(),
            id: 9,
            heartbeat: heartbeat(),
        },
        PeerMessage::HeartbeatResponse {
            id: 9,
            commands: HeartbeatResponse {
                fencing_token: 41,
                commands: commands(),
            },
        },
        PeerMessage::LastHeartbeatsRequest { node: "worker-0".into() },
        PeerMessage::LastHeartbeats {
            node: "worker-1".into(),
            heartbeats: vec![(1200, heartbeat())],
        },
        PeerMessage::RelayPush {
            node: "worker-0".into(),
            id: 10,
            addr: "10.1.0.232:9000".into(),
            body: PushedCommands {
                fencing_token: 41,
                incarnation: 3,
                commands: commands(),
            },
        },
        PeerMessage::RelayedPushResult {
            id: 10,
            answer: PushResult::Rejected(heartbeat()),
        },
        PeerMessage::RelayedPushResult {
            id: 11,
            answer: PushResult::NotSent,
        },
        PeerMessage::ForwardRequest {
            node: "worker-1".into(),
            process_number: 77,
            id: 12,
            sent_at_us: 86_400_123_456,
            term: 41,
            timeout_ms: 700,
            body: ForwardedBody::State(vec![1, 2, 3]),
        },
        PeerMessage::ForwardedResponse {
            process_number: 77,
            id: 12,
            body: ForwardedBody::Cloud(vec![4, 5]),
        },
        PeerMessage::RelayMessage {
            to: "worker-2".into(),
            body: vec![6, 7],
        },
        PeerMessage::RelayedMessage(vec![8]),
        PeerMessage::TransferLeadership {
            node: "worker-0".into(),
            term: 41,
            to: Some("worker-2".into()),
        },
    ]
}
