//! The frames with which a relayed connection begins. The bytes after them are passed on as they are.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use acaciabay::core::endpoint_rest::{DepartureNotice, RestNotice, RestRequest};
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::util::number::whole_millis;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

use crate::generated::replica::{PeerFrame, peer_frame::Frame};
use crate::generated::serving::{RelayOpen, RelayOpened, RelayOutcome, RelayRest};

/// Largest of these frames, in bytes. They come from whoever connects, so a wrong length must not take memory.
const LARGEST_FRAME: usize = 1_024;

/// Request for a connection to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRequest {
    /// Token of the leader.
    pub token: u64,
    /// Host of the entry that asks.
    pub host: String,
    /// Number of the connection in the logs of both hosts.
    pub connection: u64,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Where the entry hears what the endpoint asks of the relay.
    pub notice_address: Option<SocketAddr>,
}

/// What an endpoint has asked of a relay's host, as an entry tells the relay, and the relay the other entries that send over
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedRest {
    /// Token of the leader.
    pub token: u64,
    /// Host of the entry that tells it.
    pub host: String,
    /// True if that entry is the relay.
    pub by_relay: bool,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its incarnation.
    pub incarnation: EndpointIncarnation,
    /// What it has asked for.
    pub asked: RestRequest,
}

/// What an entry begins a connection to a relay with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayMessage {
    /// It asks for a connection to an endpoint.
    Open(RelayRequest),
    /// It tells what an endpoint has asked for. No answer follows.
    Rest(RelayedRest),
}

impl RelayMessage {
    /// Returns the token that the entry names.
    pub const fn token(&self) -> u64 {
        match self {
            Self::Open(request) => request.token,
            Self::Rest(rest) => rest.token,
        }
    }
}

/// Answer of a relay to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayReply {
    /// What the relay found.
    pub outcome: RelayOutcome,
    /// True if the relay ends the connection in order only where the endpoint has done so, and resets it otherwise.
    pub resets_breaks: bool,
}

/// Connection on which a relay and the entry that asks it exchange their frames.
#[derive(Debug)]
pub struct RelayHandshake {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
}

impl RelayHandshake {
    /// Begins an exchange on a new connection.
    pub fn new(stream: TcpStream) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(LARGEST_FRAME)
            .new_codec();
        Self {
            frames: Framed::new(stream, codec),
        }
    }

    /// Sends a request and returns the relay's answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the answer is malformed.
    pub async fn request(&mut self, request: &RelayRequest) -> io::Result<RelayReply> {
        let open = RelayOpen {
            token: request.token,
            host: request.host.clone(),
            connection: request.connection,
            address: request.address.to_string(),
            notice_address: request
                .notice_address
                .map(|address| address.to_string())
                .unwrap_or_default(),
        };
        self.send(Frame::RelayOpen(open)).await?;
        match self.next().await? {
            Frame::RelayOpened(opened) => Ok(RelayReply {
                outcome: opened.outcome(),
                resets_breaks: opened.resets_breaks,
            }),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Tells the other side what an endpoint has asked for.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn tell_rest(&mut self, rest: &RelayedRest) -> io::Result<()> {
        let rest_time = match rest.asked.rest {
            RestNotice::For(time) => time,
            RestNotice::Absent | RestNotice::Unreadable => Duration::ZERO,
        };
        let told = RelayRest {
            token: rest.token,
            host: rest.host.clone(),
            endpoint: rest.endpoint.to_string(),
            birth: rest.incarnation.0,
            rest_ms: whole_millis(rest_time),
            leaves: rest.asked.departure == DepartureNotice::Leaving,
            by_relay: rest.by_relay,
        };
        self.send(Frame::RelayRest(told)).await
    }

    /// Reads what an entry begins with.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the message is malformed.
    pub async fn read_message(&mut self) -> io::Result<RelayMessage> {
        match self.next().await? {
            Frame::RelayOpen(open) => {
                let address = open.address.parse();
                let notice_address = match open.notice_address.as_str() {
                    "" => None,
                    text => Some(text.parse().map_err(|_malformed| io::ErrorKind::InvalidData)?),
                };
                Ok(RelayMessage::Open(RelayRequest {
                    token: open.token,
                    host: open.host,
                    connection: open.connection,
                    address: address.map_err(|_malformed| io::ErrorKind::InvalidData)?,
                    notice_address,
                }))
            }
            Frame::RelayRest(told) => Ok(RelayMessage::Rest(rest_from_wire(told))),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Answers a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn answer(&mut self, reply: RelayReply) -> io::Result<()> {
        let mut opened = RelayOpened {
            resets_breaks: reply.resets_breaks,
            ..RelayOpened::default()
        };
        opened.set_outcome(reply.outcome);
        self.send(Frame::RelayOpened(opened)).await
    }

    /// Ends the exchange. Returns the connection, and the bytes after the last frame that have been read already.
    pub fn finish(self) -> (TcpStream, BytesMut) {
        let FramedParts { io, read_buf, .. } = self.frames.into_parts();
        (io, read_buf)
    }

    async fn send(&mut self, frame: Frame) -> io::Result<()> {
        let bytes = PeerFrame { frame: Some(frame) }.encode_to_vec();
        self.frames.send(Bytes::from(bytes)).await
    }

    async fn next(&mut self) -> io::Result<Frame> {
        let bytes = self.frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        let frame = PeerFrame::decode(bytes.freeze()).map_err(io::Error::other)?.frame;
        frame.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

fn rest_from_wire(told: RelayRest) -> RelayedRest {
    let rest = match told.rest_ms {
        0 => RestNotice::Absent,
        millis => RestNotice::lasting(Duration::from_millis(millis)),
    };
    let departure = if told.leaves {
        DepartureNotice::Leaving
    } else {
        DepartureNotice::Absent
    };
    RelayedRest {
        token: told.token,
        host: told.host,
        by_relay: told.by_relay,
        endpoint: told.endpoint.as_str().into(),
        incarnation: EndpointIncarnation(told.birth),
        asked: RestRequest { rest, departure },
    }
}
