//! Moving bytes between the two ends of a connection.

use super::fault::{Direction, Fault, Faults};
use super::state::{Connection, State};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// The most that is read at a time.
const CHUNK: usize = 64 << 10;

/// The pause after a connection that could not be accepted.
const FULL: Duration = Duration::from_millis(50);

/// Accepts until the runtime ends.
pub(super) async fn accept(listener: TcpListener, state: Arc<State>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let Ok((client, _)) = listener.accept().await else {
            // Out of file descriptors, as silent connections keep theirs. A proxy that gave up
            // here would look like a peer that nobody ever reaches again.
            tokio::time::sleep(FULL).await;
            continue;
        };
        let connection = state.connect();
        tokio::spawn(carry(client, connection, state.clone()));
    }
}

async fn carry(client: TcpStream, connection: Connection, state: Arc<State>) -> io::Result<()> {
    let mut faults = connection.faults.clone();
    let target = connection.target.ok_or(io::ErrorKind::NotConnected);
    // A reset or a close also holds for a connection that is only being opened.
    if let Some(reset) = faults.borrow().cut() {
        return if reset {
            client.set_zero_linger()
        } else {
            Ok(())
        };
    }
    let server = TcpStream::connect(target?).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let pump = |direction, from, to| Pump {
        direction,
        from,
        to,
        faults: connection.faults.clone(),
        state: state.clone(),
    };
    let mut up = pump(Direction::Up, from_client, to_server);
    let mut down = pump(Direction::Down, from_server, to_client);
    let reset = tokio::select! {
        reset = cut(&mut faults) => reset,
        _ = async { tokio::join!(up.run(), down.run()) } => false,
    };
    if reset {
        up.reset()?;
        down.reset()?;
    }
    Ok(())
}

/// Waits for the connection's cut; true if it is a reset.
async fn cut(faults: &mut watch::Receiver<Faults>) -> bool {
    let cut = faults.wait_for(|faults| faults.cut().is_some()).await;
    cut.is_ok_and(|faults| faults.cut() == Some(true))
}

struct Pump {
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    faults: watch::Receiver<Faults>,
    state: Arc<State>,
}

impl Pump {
    /// Moves bytes until the sending end closes, and hands the closing on.
    async fn run(&mut self) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK];
        loop {
            let read = self.from.read(&mut buffer).await?;
            self.state.count(read);
            self.pass(read).await;
            if read == 0 {
                return self.to.shutdown().await;
            }
            self.to.write_all(&buffer[..read]).await?;
        }
    }

    /// Makes the closing discard what is unsent. A writing half closes in order when it
    /// is dropped, so this one is forgotten.
    fn reset(self) -> io::Result<()> {
        self.from.as_ref().set_zero_linger()?;
        self.to.forget();
        Ok(())
    }

    /// Waits until the chunk in hand, of so many bytes, may go on.
    async fn pass(&mut self, bytes: usize) {
        let direction = self.direction;
        let fault = self.faults.borrow().of(direction);
        match fault {
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            Fault::Rate(rate) => {
                let seconds = bytes as f64 / f64::from(rate.max(1));
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            }
            Fault::None | Fault::Silent | Fault::Close | Fault::Reset => {}
        }
        let audible = |faults: &Faults| faults.of(direction) != Fault::Silent;
        if self.faults.wait_for(audible).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
