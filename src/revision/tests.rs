//! Documents in force never go back, whatever is offered in whatever order.

use proptest::prelude::*;
use uuid::Uuid;

use super::{Documents, Offer};
use crate::document::digest;
use crate::ids::ServiceName;
use crate::wire::operator::{DocumentReply, HistoryEntry};

const OPERATOR: &str = "sha256:0b77ece33eec8366a5af87b1506dfbc2d8f7e9a8841d3d4498a53cf9d15de6e8";
const ACCOUNT: &str = "sha256:6d7bbbbcb7beefdc47163d32eeec905417a868b081afd541d3f9856f2bc54a3d";

fn accepted(revision: u64, text: String) -> DocumentReply {
    DocumentReply {
        entry: HistoryEntry {
            service: ServiceName::from("s"),
            revision,
            base_revision: revision.saturating_sub(1),
            operator: "erin".to_owned(),
            at_unix_ms: 0,
            change_id: Uuid::from_u128(u128::from(revision)),
            digest: digest(&text).to_string(),
            note: None,
        },
        text,
    }
}

fn text(number: u64) -> String {
    format!(
        "# {number}\nservice = \"s\"\nkind = \"application\"\n\
         [accounts.a]\nweight = 1\nkey_digests = [\"{ACCOUNT}\"]\n\
         [operators.erin]\nrole = \"editor\"\nkey_digests = [\"{OPERATOR}\"]\n"
    )
}

proptest! {
    #[test]
    fn the_revision_in_force_is_the_highest_offered(
        revisions in proptest::collection::vec(1..50_u64, 1..40),
    ) {
        let service = ServiceName::from("s");
        let mut documents = Documents::default();
        let mut highest = 0;
        for revision in revisions {
            let offer = documents.offer(&accepted(revision, text(revision)));
            let expected = if revision > highest { Offer::Taken } else { Offer::NotNewer };
            prop_assert_eq!(offer, expected);
            highest = highest.max(revision);
            prop_assert_eq!(documents.revision(&service), highest);
        }
    }
}

#[test]
fn a_text_that_does_not_match_its_digest_is_not_taken() {
    let mut documents = Documents::default();
    let mut document = accepted(1, text(1));
    document.text.push_str("# changed on the way\n");
    assert_eq!(documents.offer(&document), Offer::Unreadable);
}

#[test]
fn a_text_that_this_release_cannot_read_leaves_the_last_one_in_force() {
    let mut documents = Documents::default();
    documents.offer(&accepted(1, text(1)));
    let later = accepted(2, text(2) + "[of_a_later_release]\n");
    assert_eq!(documents.offer(&later), Offer::Unreadable);
    assert_eq!(documents.revision(&ServiceName::from("s")), 1);
}

#[test]
fn two_texts_under_one_revision_are_told_apart() {
    let mut documents = Documents::default();
    documents.offer(&accepted(1, text(1)));
    assert_eq!(documents.offer(&accepted(1, text(2))), Offer::Forked);
}
