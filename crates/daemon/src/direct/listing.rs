//! Paged listing of the newest record of each key of a topic.
//!
//! When all VMs of a large fleet restart, all of them list at once and the log answers more slowly
//! than usual. A late page is requested again with a longer timeout, so that the listing does not
//! start over.

use hoplanding_platform::store::{ListingPage, ReadBatch, StoreClient, StoreError};
use std::time::Duration;

/// Attempts for each page after the first one. The timeout doubles after each attempt.
const MAX_PAGE_ATTEMPTS: u32 = 4;

/// Lists a topic. `within` is the time limit for one page.
///
/// # Errors
/// The error of the first page, or of the last attempt for a later one.
pub async fn list_topic(
    client: &mut StoreClient,
    topic: &str,
    within: Duration,
) -> Result<ReadBatch, StoreError> {
    let first = client.newest_page(topic, None, within).await?;
    // Pages are not a snapshot. Changes since the first page are read later, from its end.
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
    let mut page_timeout = within;
    for _ in 1..MAX_PAGE_ATTEMPTS {
        match client.newest_page(topic, Some(after), page_timeout).await {
            Err(StoreError::NoAnswer(_)) => page_timeout *= 2,
            result => return result,
        }
    }
    client.newest_page(topic, Some(after), page_timeout).await
}
