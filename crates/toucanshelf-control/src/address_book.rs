//! File with the addresses of the other instances, for a restart.
//!
//! The settings may name only control instances that have been replaced since. If all control
//! instances restart at once, each finds its current peers, and the ingresses, in this file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Shared;

/// Name of the file in the data folder.
const FILE_NAME: &str = "addresses.toml";
/// Name of the file while it is written.
const TEMPORARY_FILE_NAME: &str = "addresses.toml.new";
/// Interval at which changed addresses are stored.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Addresses of other instances, as they are stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct AddressBook {
    /// Addresses at which control instances accept links.
    pub control: Vec<SocketAddr>,
    /// Addresses at which ingresses accept links.
    pub ingresses: Vec<SocketAddr>,
}

impl AddressBook {
    /// Reads the book in `folder`; one that was never stored is empty.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is damaged.
    pub fn load(folder: &Path) -> io::Result<Self> {
        let text = match fs::read_to_string(folder.join(FILE_NAME)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            result => result?,
        };
        toml::from_str(&text).map_err(io::Error::other)
    }

    /// Replaces the book in `folder`, which then lasts through a loss of power.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn store(&self, folder: &Path) -> io::Result<()> {
        let text = toml::to_string(self).map_err(io::Error::other)?;
        let temporary = folder.join(TEMPORARY_FILE_NAME);
        let mut f = File::create(&temporary)?;
        f.write_all(text.as_bytes())?;
        f.sync_all()?;
        fs::rename(&temporary, folder.join(FILE_NAME))?;
        File::open(folder)?.sync_all()
    }
}

/// Opens links to the control instances in the book, and notes its ingresses.
pub(crate) fn read(shared: &Arc<Shared>) {
    let folder = &shared.settings.data_folder;
    let book = match AddressBook::load(folder) {
        Ok(book) => book,
        Err(cause) => {
            tracing::warn!(event = "TS2206", folder = %folder.display(), %cause, "addresses can't be read");
            return;
        }
    };
    for address in book.control {
        shared.peers.add_address(shared, address);
    }
    if let Some(directory) = &shared.directory {
        let ingresses = book.ingresses.into_iter();
        directory.record_ingress_addresses(ingresses.map(|address| (address, 0)));
    }
}

/// Stores the addresses whenever they have changed, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let folder = shared.settings.data_folder.clone();
    // The start has logged a file that can't be read; it is replaced.
    let mut stored = AddressBook::load(&folder).unwrap_or_default();
    let mut failure: Option<Box<str>> = None;
    loop {
        tokio::time::sleep(STORE_INTERVAL).await;
        let book = current(&shared);
        if book == stored {
            continue;
        }
        match store(&book, &folder).await {
            Ok(()) => {
                stored = book;
                failure = None;
            }
            Err(cause) => {
                let cause: Box<str> = cause.to_string().into();
                if failure.as_ref() != Some(&cause) {
                    tracing::warn!(event = "TS2207", folder = %folder.display(), %cause, "addresses can't be stored");
                    failure = Some(cause);
                }
            }
        }
    }
}

/// Stores the book on a thread that may wait for the disk.
async fn store(book: &AddressBook, folder: &Path) -> io::Result<()> {
    let (book, folder): (AddressBook, PathBuf) = (book.clone(), folder.into());
    let stored = tokio::task::spawn_blocking(move || book.store(&folder)).await;
    stored.unwrap_or_else(|e| Err(io::Error::other(e)))
}

/// Returns the addresses that this instance knows now.
fn current(shared: &Shared) -> AddressBook {
    let ingresses = match &shared.directory {
        Some(directory) => directory.ingress_addresses().ages(directory.now()),
        None => BTreeMap::new(),
    };
    AddressBook {
        control: shared.peers.members(),
        ingresses: ingresses.into_keys().collect(),
    }
}
