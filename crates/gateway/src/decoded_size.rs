//! Estimates the memory that the decoded form of a JSON body takes.
//!
//! A short text can stand for many small values, each with allocations of its own: a body of 8 MB that lists empty strings
//! takes more than 100 MB when it is decoded.

/// Copies of the text that exist at the same time: what is decoded from it, and how that is stored.
const COPIES: usize = 3;
/// Memory of a string beside its text, by each of its quotation marks.
const BYTES_PER_QUOTE: usize = 88;
/// Memory of a value in a list, by the comma after it.
const BYTES_PER_COMMA: usize = 96;
/// Memory of an object or a list beside its values, by the bracket that begins it.
const BYTES_PER_BRACKET: usize = 64;

/// Estimated memory in bytes that decoding a JSON text and storing the result takes beside the text.
pub fn decoded_json_bytes(text: &[u8]) -> usize {
    let values = text.iter().map(|byte| match byte {
        b'"' => BYTES_PER_QUOTE,
        b',' => BYTES_PER_COMMA,
        b'{' | b'[' => BYTES_PER_BRACKET,
        _ => 0,
    });
    COPIES * text.len() + values.sum::<usize>()
}
