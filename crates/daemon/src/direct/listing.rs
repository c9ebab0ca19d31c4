//! A listing of the newest record of each key, page by page.
//!
//! After a loss of all VMs of a large fleet all of them list at once, and the log takes longer for a page than usual. A
//! page whose answer is late is then asked for again with more patience, rather than the whole listing.

use hoplanding_platform::store::{ListingPage, ReadBatch, StoreClient, StoreError};
use std::time::Duration;

/// Times that a page behind the first is asked for; patience doubles each time.
const PAGE_TRIES: u32 = 4;

/// Lists a topic.
///
/// # Errors
/// Says why the first page, or a later one after several tries, did not come.
pub async fn list_topic(
    client: &mut StoreClient,
    topic: &str,
    within: Duration,
) -> Result<ReadBatch, StoreError> {
    let first = client.newest_page(topic, None, within).await?;
    // Pages are no snapshot: what changed since the first one is read again from its end.
    let mut batch = ReadBatch {
        records: first.records,
        next: first.end,
        end: first.end,
    };
    let mut next = first.next;
    while let Some(after) = next {
        let page = later_page(client, topic, &after, within).await?;
        if page.end.era() != batch.end.era() {
            return Err(StoreError::EraMismatch(page.end.era()));
        }
        batch.records.extend(page.records);
        next = page.next;
    }
    Ok(batch)
}

async fn later_page(
    client: &mut StoreClient,
    topic: &str,
    after: &str,
    within: Duration,
) -> Result<ListingPage, StoreError> {
    let mut patience = within;
    for _ in 1..PAGE_TRIES {
        match client.newest_page(topic, Some(after), patience).await {
            Err(StoreError::NoAnswer(_)) => patience *= 2,
            result => return result,
        }
    }
    client.newest_page(topic, Some(after), patience).await
}
