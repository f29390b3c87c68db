//! Encoded form of the messages.

/// Newest format that this process decodes, and the one that it encodes.
pub(crate) const FORMAT: u32 = 1;

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Envelope {
    #[prost(uint32, tag = "1")]
    pub(crate) format: u32,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5")]
    pub(crate) body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Body {
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatMessage),
    #[prost(uint64, tag = "3")]
    FetchRevision(u64),
    #[prost(message, tag = "4")]
    Revision(RevisionMessage),
    #[prost(bool, tag = "5")]
    Ack(bool),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeartbeatMessage {
    #[prost(string, tag = "1")]
    pub(crate) fleet: String,
    #[prost(message, optional, tag = "2")]
    pub(crate) me: Option<PeerViewMessage>,
    #[prost(uint64, tag = "3")]
    pub(crate) millis: u64,
    #[prost(uint32, tag = "4")]
    pub(crate) logical: u32,
    #[prost(message, repeated, tag = "5")]
    pub(crate) crashes: Vec<CrashMessage>,
    #[prost(message, repeated, tag = "6")]
    pub(crate) notices: Vec<NoticeMessage>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) peers: Vec<PeerViewMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PeerViewMessage {
    #[prost(string, tag = "1")]
    pub(crate) vm: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) seq: u64,
    #[prost(bytes = "vec", tag = "4")]
    pub(crate) addr: Vec<u8>,
    #[prost(bytes = "vec", tag = "5")]
    pub(crate) operator_addr: Vec<u8>,
    #[prost(bool, tag = "6")]
    pub(crate) is_leaving: bool,
    #[prost(uint64, tag = "7")]
    pub(crate) revision: u64,
    #[prost(string, tag = "8")]
    pub(crate) domain: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CrashMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    #[prost(string, tag = "2")]
    pub(crate) vm: String,
    #[prost(uint32, tag = "3")]
    pub(crate) count: u32,
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
    #[prost(uint32, tag = "5")]
    pub(crate) epoch: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct NoticeMessage {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(string, tag = "2")]
    pub(crate) target: String,
    #[prost(bool, tag = "3")]
    pub(crate) is_leaving: bool,
    #[prost(uint64, tag = "4")]
    pub(crate) millis: u64,
    #[prost(uint32, tag = "5")]
    pub(crate) logical: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RevisionMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    #[prost(string, tag = "2")]
    pub(crate) submission: String,
    #[prost(string, tag = "3")]
    pub(crate) author: String,
    #[prost(uint64, tag = "4")]
    pub(crate) submitted_ms: u64,
    #[prost(string, tag = "5")]
    pub(crate) text: String,
}
