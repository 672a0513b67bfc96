//! Tests of the content hash of requests.

use http::HeaderMap;
use http::Method;
use http::Request;
use http::request::Parts;
use pimentoflow::request::fingerprint::Fingerprint;

fn head(uri: &str, headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::builder().uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("a valid request").into_parts().0
}

fn fingerprint(uri: &str, headers: &[(&str, &str)], body: &str) -> Fingerprint {
    let head = head(uri, headers);
    Fingerprint::of(&head.method, &head.uri, &head.headers, body.as_bytes())
}

/// Guards against attempts of one request that are not recognised, because their headers differ or because the caller
/// sent the whole URI.
#[test]
fn attempts_of_one_request_have_the_same_fingerprint() {
    let first = fingerprint(
        "/a/b?c=1",
        &[("host", "h"), ("x-id", "1"), ("x-deadline", "800")],
        "body",
    );
    let second = fingerprint(
        "/a/b?c=1",
        &[("host", "h"), ("x-id", "2"), ("connection", "close")],
        "body",
    );
    let absolute = fingerprint("http://h/a/b?c=1", &[], "body");
    assert_eq!(first, second);
    assert_eq!(first, absolute);
    assert_eq!(first.to_string().len(), 16);
}

/// Guards against requests that are taken for each other. One of them would be refused for what the other did.
#[test]
fn requests_that_differ_have_different_fingerprints() {
    let host = [("host", "h")];
    let base = fingerprint("/a/b?c=1", &host, "body");
    let post = Fingerprint::of(
        &Method::POST,
        &"/a/b?c=1".parse().expect("a valid URI"),
        &HeaderMap::new(),
        b"body",
    );
    let others = [
        fingerprint("/a/b?c=2", &host, "body"),
        fingerprint("/a/b", &host, "body"),
        fingerprint("/a/b?c=1", &[("host", "g")], "body"),
        fingerprint("/a/b?c=1", &host, "bod"),
        fingerprint("/a/b?c=1", &host, ""),
        fingerprint("/a/b?c=1", &[("host", "h"), ("authorization", "Basic eA==")], "body"),
        // Fields that run into each other when they are joined without their lengths.
        fingerprint("/a/b?c=1body", &host, ""),
        post,
    ];
    for other in others {
        assert_ne!(base, other);
    }
}
