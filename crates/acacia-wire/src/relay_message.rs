//! The frames with which a relayed connection begins. The bytes after them are passed on as they are.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

use crate::generated::replica::{PeerFrame, peer_frame::Frame};
use crate::generated::serving::{RelayOpen, RelayOpened, RelayOutcome};

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

    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the request is malformed.
    pub async fn read_request(&mut self) -> io::Result<RelayRequest> {
        let Frame::RelayOpen(open) = self.next().await? else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let address = open.address.parse();
        Ok(RelayRequest {
            token: open.token,
            host: open.host,
            connection: open.connection,
            address: address.map_err(|_malformed| io::ErrorKind::InvalidData)?,
        })
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
