use proptest::prelude::*;

use super::block_buffer::BlockBuffer;

proptest! {
    #[test]
    fn bytes_come_out_as_they_went_in(pieces in prop::collection::vec(
        prop::collection::vec(any::<u8>(), 0..40_000), 0..6), more in prop::collection::vec(any::<u8>(), 0..9)) {
        let mut buffer = BlockBuffer::default();
        for piece in &pieces {
            buffer.push(piece);
        }
        let whole = pieces.concat();
        prop_assert_eq!(buffer.len(), whole.len());
        let tail = buffer.tail(2);
        prop_assert_eq!(&tail[..], &whole[whole.len().saturating_sub(2)..]);
        let joined = buffer.clone().take_joined(&more);
        prop_assert!(joined == [&whole[..], &more].concat());
        let mut popped = Vec::new();
        while let Some(block) = buffer.pop() {
            popped.extend_from_slice(&block);
        }
        prop_assert!(popped == whole);
        prop_assert!(buffer.is_empty());
    }
}
