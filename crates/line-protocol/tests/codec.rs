//! Checks that arbitrary input is parsed or rejected, within the limit on the line length.

use bytes::BytesMut;
use havenplank_line_protocol::codec::LineCodec;
use havenplank_line_protocol::{control_plane, endpoint_list};
use proptest::prelude::*;
use tokio_util::codec::Decoder;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn parses_or_rejects_arbitrary_bytes_without_a_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000),
        greeted in any::<bool>(),
    ) {
        let mut text = if greeted { b"hello nodes 1\nhello desk 1\n".to_vec() } else { Vec::new() };
        text.extend(bytes);
        let mut buffer = BytesMut::from(&text[..]);
        let mut codec = LineCodec::new(endpoint_list::NotificationParser::default(), 64);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let mut buffer = BytesMut::from(&text[..]);
        let mut codec = LineCodec::new(control_plane::RequestParser::default(), 64);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = endpoint_list::decode_cached(&String::from_utf8_lossy(&text));
    }
}
