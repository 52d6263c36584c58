//! Commands of the admin interface: HTTP/1.1, one request per connection.

use super::http::RequestHead;

/// A command given by a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Queries whether this process accepts clients.
    Health,
    /// Puts a server into maintenance or back into service.
    Maintenance {
        /// The server's name, as listed by discovery.
        uid: &'a str,
        /// True if the maintenance begins, false if it ends.
        begins: bool,
    },
}

/// The response to a request: a status and a short text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    status: u16,
    text: &'static str,
    allow: Option<&'static str>,
}

impl Response {
    /// Creates a response with this status.
    pub const fn new(status: u16, text: &'static str) -> Self {
        Self { status, text, allow: None }
    }

    const fn method_not_allowed(method: &'static str) -> Self {
        Self { status: 405, text: "another method", allow: Some(method) }
    }

    /// Returns the response in its wire format.
    pub fn to_http(self) -> String {
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

/// Parses the command of a request.
///
/// # Errors
/// Returns the response to a request with an unknown path or a wrong method.
pub fn parse_command<'a>(request: &'a RequestHead) -> Result<Command<'a>, Response> {
    let path = request.target.split('?').next().unwrap_or_default();
    let parts: Vec<_> = path.split('/').collect();
    let (method, command) = match parts[..] {
        ["", "healthcheck"] => ("GET", Command::Health),
        ["", "form-hosts", uid, "maint"] => ("POST", Command::Maintenance { uid, begins: true }),
        ["", "form-hosts", uid, "ready"] => ("POST", Command::Maintenance { uid, begins: false }),
        _ => return Err(Response::new(404, "no such place")),
    };
    if request.method == method { Ok(command) } else { Err(Response::method_not_allowed(method)) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_map_to_commands_and_invalid_ones_to_errors() {
        let requests = [
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
        let parsed = requests.map(|(method, target)| {
            let request = RequestHead { method: method.into(), target: target.into() };
            format!("{method} {target}: {:?}", parse_command(&request))
        });
        insta::assert_snapshot!(parsed.join("\n"));
        insta::assert_snapshot!(Response::method_not_allowed("GET").to_http().replace('\r', "~"), @r"
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
