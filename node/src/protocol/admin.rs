//! What operators ask for: HTTP/1.1, one call to a connection.

use super::http::Call;

/// What a call asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Asked<'a> {
    /// Whether this process takes clients.
    Health,
    /// To take a form host out, or to put it back.
    Maintenance {
        /// Its id, as discovery lists it.
        uid: &'a str,
        /// Out if true.
        begins: bool,
    },
}

/// The answer to a call: the status, and a word on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    status: u16,
    text: &'static str,
    allow: Option<&'static str>,
}

impl Answer {
    /// An answer of this status.
    pub const fn new(status: u16, text: &'static str) -> Self {
        Self { status, text, allow: None }
    }

    const fn allow(method: &'static str) -> Self {
        Self { status: 405, text: "another method", allow: Some(method) }
    }

    /// The answer as it is written.
    pub fn written(self) -> String {
        let Self { status, text, allow } = self;
        let reason = match status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            _ => "Service Unavailable",
        };
        let allow = allow.map_or(String::new(), |method| format!("Allow: {method}\r\n"));
        let length = text.len() + 1;
        format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{allow}\
             Connection: close\r\n\r\n{text}\n"
        )
    }
}

/// Tells what a call asks for.
///
/// # Errors
/// Gives the answer to a call that asks for nothing there is.
pub fn asked<'a>(call: &'a Call) -> Result<Asked<'a>, Answer> {
    let path = call.target.split('?').next().unwrap_or_default();
    let parts: Vec<_> = path.split('/').collect();
    let (method, asked) = match parts[..] {
        ["", "healthcheck"] => ("GET", Asked::Health),
        ["", "form-hosts", uid, "maint"] => ("POST", Asked::Maintenance { uid, begins: true }),
        ["", "form-hosts", uid, "ready"] => ("POST", Asked::Maintenance { uid, begins: false }),
        _ => return Err(Answer::new(404, "no such place")),
    };
    if call.method == method { Ok(asked) } else { Err(Answer::allow(method)) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_is_told_apart_and_what_is_none_is_told_why() {
        let calls = [
            ("GET", "/healthcheck"),
            ("GET", "/healthcheck?verbose=1"),
            ("POST", "/healthcheck"),
            ("POST", "/form-hosts/s-1/maint"),
            ("POST", "/form-hosts/s-1/ready"),
            ("GET", "/form-hosts/s-1/ready"),
            ("POST", "/form-hosts/s-1/gone"),
            ("POST", "/form-hosts/maint"),
            ("GET", "/"),
        ];
        let told = calls.map(|(method, target)| {
            let call = Call { method: method.into(), target: target.into() };
            format!("{method} {target}: {:?}", asked(&call))
        });
        insta::assert_snapshot!(told.join("\n"));
        insta::assert_snapshot!(Answer::allow("GET").written().replace('\r', "~"), @r"
        HTTP/1.1 405 Method Not Allowed~
        Content-Type: text/plain~
        Content-Length: 15~
        Allow: GET~
        Connection: close~
        ~
        another method
        ");
    }
}
