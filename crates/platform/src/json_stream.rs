//! Splits a stream of JSON objects, with any white space in and between them, that arrives in arbitrary pieces. The
//! objects in one array of each object, its elements, are passed on one by one, so that a long array is never held as
//! text.
//!
//! Free of I/O. Each byte is scanned once, so a peer that sends single bytes costs no more than any other. White space
//! outside of strings is dropped as it arrives: it neither counts towards a limit nor holds memory.

use bytes::{Buf, BytesMut};

/// What stands for an element in the object that it belongs to.
const ELEMENT_PLACEHOLDER: &[u8] = b"{}";
/// The depth within the array of elements: in the object and in the array.
const ELEMENTS_DEPTH: usize = 2;

/// An item of the stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// The end of a line outside of any object, which discovery sends as a keep-alive.
    LineEnd,
    /// The text of one element of the object that is being received.
    Element(Vec<u8>),
    /// The text of one object. Each of its elements was an item before this one and is an empty object here.
    Object(Vec<u8>),
}

/// Why a stream is malformed.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum MalformedStream {
    /// A byte between objects that is neither white space nor the start of an object.
    #[error(
        "byte {byte:#04x} between two objects: expected white space or the start of an object"
    )]
    StrayByte {
        /// The byte found.
        byte: u8,
    },
    /// An object is longer than the limit, or one of its elements is.
    #[error("object longer than {max_bytes} bytes without white space")]
    ObjectTooLong {
        /// The limit, in bytes.
        max_bytes: usize,
    },
}

/// The array whose objects are passed on one by one.
struct ElementArray {
    /// What precedes the array as the first field of its object, without white space.
    first_field: Vec<u8>,
    /// What precedes the array as a later field.
    later_field: Vec<u8>,
    max_element_bytes: usize,
}

impl ElementArray {
    fn starts_after(&self, text: &[u8]) -> bool {
        text == self.first_field || text.ends_with(&self.later_field)
    }
}

/// The text of an object or an element without insignificant white space.
#[derive(Default)]
struct CompactText {
    bytes: Vec<u8>,
    /// Whether white space was dropped after the last byte.
    after_space: bool,
}

impl CompactText {
    fn push(&mut self, byte: u8) {
        // Two numbers or literals must not become one.
        let separates = |byte: u8| b"{}[],:\"".contains(&byte);
        if self.after_space && !separates(byte) {
            let last = self.bytes.last();
            if last.is_some_and(|last| !separates(*last)) {
                self.bytes.push(b' ');
            }
        }
        self.after_space = false;
        self.bytes.push(byte);
    }

    fn push_in_string(&mut self, bytes: &[u8]) {
        self.after_space = false;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the text, and leaves an empty one with the same capacity: the next text is often as long.
    fn take(&mut self) -> Vec<u8> {
        self.after_space = false;
        let empty = Vec::with_capacity(self.bytes.len());
        std::mem::replace(&mut self.bytes, empty)
    }
}

/// Splits a stream into items. Holds at most one incomplete object, one incomplete element and one received piece of the
/// stream.
pub struct JsonStream {
    /// Received bytes that were not scanned yet.
    received: BytesMut,
    object: CompactText,
    element: CompactText,
    max_object_bytes: usize,
    elements: Option<ElementArray>,
    /// Number of open braces and brackets.
    depth: usize,
    /// Whether the last byte was within a string.
    in_string: bool,
    /// Whether the last byte was a backslash in a string, so that the next byte is escaped.
    escaped: bool,
    /// Whether the array of elements is open.
    in_elements: bool,
    /// Whether one of its elements is open.
    in_element: bool,
}

impl JsonStream {
    /// Creates an empty stream that rejects objects of more than `max_object_bytes`.
    pub fn new(max_object_bytes: usize) -> JsonStream {
        JsonStream {
            received: BytesMut::new(),
            object: CompactText::default(),
            element: CompactText::default(),
            max_object_bytes,
            elements: None,
            depth: 0,
            in_string: false,
            escaped: false,
            in_elements: false,
            in_element: false,
        }
    }

    /// Passes on the objects in the array `field` of each object one by one, and rejects those of more than
    /// `max_element_bytes`.
    #[must_use]
    pub fn with_elements(self, field: &str, max_element_bytes: usize) -> JsonStream {
        let elements = ElementArray {
            first_field: format!("{{\"{field}\":").into_bytes(),
            later_field: format!(",\"{field}\":").into_bytes(),
            max_element_bytes,
        };
        JsonStream {
            elements: Some(elements),
            ..self
        }
    }

    /// Appends a piece of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Returns the next item; `None` if more of the stream must be pushed first.
    ///
    /// # Errors
    /// Fails on bytes that are not part of a stream of objects, and on an object that is too long. Nothing more can be
    /// read after an error.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, MalformedStream> {
        let mut received = std::mem::take(&mut self.received);
        let mut scanned = 0;
        let mut item = Ok(None);
        while let Some(byte) = received.get(scanned).copied() {
            if self.in_string {
                scanned += self.scan_in_string(&received[scanned..]);
                item = self.check_length().map(|()| None);
            } else {
                scanned += 1;
                item = self.scan(byte);
            }
            if !matches!(item, Ok(None)) {
                break;
            }
        }
        received.advance(scanned);
        self.received = received;
        item
    }

    /// Scans one byte outside of a string, and returns the item that ends with it.
    fn scan(&mut self, byte: u8) -> Result<Option<StreamItem>, MalformedStream> {
        if self.depth == 0 {
            return self.scan_between_objects(byte);
        }
        if matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
            self.text().after_space = true;
            return Ok(None);
        }
        self.in_element |= self.opens_element(byte);
        let opens_elements = self.opens_elements(byte);
        self.text().push(byte);
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        self.in_elements = opens_elements || self.in_elements && self.depth >= ELEMENTS_DEPTH;
        self.check_length()?;
        Ok(self.take_completed())
    }

    fn scan_between_objects(&mut self, byte: u8) -> Result<Option<StreamItem>, MalformedStream> {
        match byte {
            b'{' => {
                self.object.push(byte);
                self.depth = 1;
                Ok(None)
            }
            b'\n' => Ok(Some(StreamItem::LineEnd)),
            b' ' | b'\t' | b'\r' => Ok(None),
            byte => Err(MalformedStream::StrayByte { byte }),
        }
    }

    /// Scans up to the first byte that may end the string or escape the next one, and returns the bytes scanned.
    fn scan_in_string(&mut self, received: &[u8]) -> usize {
        if self.escaped {
            self.escaped = false;
            self.text().push_in_string(&received[..1]);
            return 1;
        }
        let special = received.iter().position(|byte| b"\"\\".contains(byte));
        let scanned = special.map_or(received.len(), |position| position + 1);
        self.text().push_in_string(&received[..scanned]);
        match special.map(|position| received[position]) {
            Some(b'"') => self.in_string = false,
            Some(_) => self.escaped = true,
            None => {}
        }
        scanned
    }

    /// Returns whether this byte opens the array of elements.
    fn opens_elements(&self, byte: u8) -> bool {
        let object = &self.object.bytes;
        let elements = self.elements.as_ref();
        byte == b'[' && self.depth == 1 && elements.is_some_and(|array| array.starts_after(object))
    }

    /// Returns whether this byte opens an element.
    fn opens_element(&self, byte: u8) -> bool {
        byte == b'{' && self.in_elements && self.depth == ELEMENTS_DEPTH
    }

    /// Returns the text that the present byte belongs to.
    fn text(&mut self) -> &mut CompactText {
        if self.in_element {
            &mut self.element
        } else {
            &mut self.object
        }
    }

    /// Returns the element or the object that ends with the last byte.
    fn take_completed(&mut self) -> Option<StreamItem> {
        if self.in_element && self.depth == ELEMENTS_DEPTH {
            self.in_element = false;
            for byte in ELEMENT_PLACEHOLDER {
                self.object.push(*byte);
            }
            return Some(StreamItem::Element(self.element.take()));
        }
        (self.depth == 0).then(|| StreamItem::Object(self.object.take()))
    }

    fn check_length(&self) -> Result<(), MalformedStream> {
        let elements = self.elements.as_ref();
        let max_element_bytes = elements.map_or(0, |array| array.max_element_bytes);
        for (text, max_bytes) in [
            (&self.object, self.max_object_bytes),
            (&self.element, max_element_bytes),
        ] {
            if text.bytes.len() > max_bytes {
                return Err(MalformedStream::ObjectTooLong { max_bytes });
            }
        }
        Ok(())
    }
}
