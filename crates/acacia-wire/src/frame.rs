//! Frames on a connection between two of our processes: a length, then one `PeerFrame`.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf, ReadHalf, WriteHalf};
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::generated::replica::{PeerFrame, peer_frame::Frame};

/// The largest frame that is read or written, in bytes.
///
/// A snapshot travels in one frame; the bound keeps a wrong length from taking all memory.
pub const LARGEST_FRAME: usize = 256 * 1024 * 1024;

/// How long a connection attempt to another of our processes may take: many times the way between regions. A host that is
/// just being started does not answer, and the system asks it again only after a second; a new attempt finds it sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reads frames from a connection.
#[derive(Debug)]
pub struct FrameReader<S> {
    frames: FramedRead<TimedRead<ReadHalf<S>>, LengthDelimitedCodec>,
}

/// Notes when bytes last arrived.
#[derive(Debug)]
struct TimedRead<R> {
    inner: R,
    arrived_at: Instant,
}

impl<R: AsyncRead + Unpin> AsyncRead for TimedRead<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.arrived_at = Instant::now();
        }
        read
    }
}

/// Writes frames to a connection.
#[derive(Debug)]
pub struct FrameWriter<S> {
    frames: FramedWrite<WriteHalf<S>, LengthDelimitedCodec>,
}

/// Splits a connection into its two directions.
pub fn split_frames<S: AsyncRead + AsyncWrite>(stream: S) -> (FrameReader<S>, FrameWriter<S>) {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST_FRAME)
        .new_codec();
    let (read, write) = tokio::io::split(stream);
    let reader = FrameReader {
        frames: FramedRead::new(
            TimedRead {
                inner: read,
                arrived_at: Instant::now(),
            },
            codec.clone(),
        ),
    };
    (
        reader,
        FrameWriter {
            frames: FramedWrite::new(write, codec),
        },
    )
}

impl<S: AsyncRead> FrameReader<S> {
    /// Returns the next frame, or nothing at the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, or when what arrives is not a frame.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        let Some(bytes) = self.frames.next().await else {
            return Ok(None);
        };
        let frame = PeerFrame::decode(bytes?.freeze()).map_err(io::Error::other)?;
        match frame.frame {
            Some(frame) => Ok(Some(frame)),
            None => Err(io::Error::other("frame without a known content")),
        }
    }
}

impl<S: AsyncRead> FrameReader<S> {
    /// Returns when bytes of a frame last arrived that is not whole yet; nothing while none is on its way.
    pub fn partial_arrival(&self) -> Option<Instant> {
        let is_partial = !self.frames.read_buffer().is_empty();
        is_partial.then_some(self.frames.get_ref().arrived_at)
    }

    /// Returns the next frame as [`next`](Self::next) does, unless nothing at all arrives for `silence`.
    ///
    /// A frame that is long in coming is no silence: a connection that was given up in the middle of one would have to
    /// carry it again from the start, and on the same link would come no further.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or is silent, or when what arrives is not a frame.
    pub async fn next_within(&mut self, silence: Duration) -> io::Result<Option<Frame>> {
        let mut heard_at = Instant::now();
        loop {
            if let Ok(next) = tokio::time::timeout_at(heard_at + silence, self.next()).await {
                return next;
            }
            let arrival = self.partial_arrival().filter(|arrived_at| *arrived_at > heard_at);
            heard_at = arrival.ok_or(io::ErrorKind::TimedOut)?;
        }
    }
}

impl<S: AsyncWrite> FrameWriter<S> {
    /// Writes one frame and waits until the connection has taken it.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn send(&mut self, frame: Frame) -> io::Result<()> {
        self.frames.send(encode(frame)).await
    }

    /// Adds one frame to the connection's buffer, to be flushed with others.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn feed(&mut self, frame: Frame) -> io::Result<()> {
        self.frames.feed(encode(frame)).await
    }

    /// Adds one encoded frame to the connection's buffer, to be flushed with others.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn feed_encoded(&mut self, frame: EncodedFrame) -> io::Result<()> {
        self.frames.feed(frame.0).await
    }

    /// Waits until the connection has taken all that was fed.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<bytes::Bytes>::flush(&mut self.frames).await
    }
}

/// A frame as it is written. Connections that carry the same frame share its bytes.
#[derive(Clone, Debug)]
pub struct EncodedFrame(bytes::Bytes);

impl EncodedFrame {
    /// Encodes a frame.
    pub fn new(frame: Frame) -> Self {
        Self(encode(frame))
    }
}

fn encode(frame: Frame) -> bytes::Bytes {
    PeerFrame { frame: Some(frame) }.encode_to_vec().into()
}
