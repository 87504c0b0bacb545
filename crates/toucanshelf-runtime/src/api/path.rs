//! Matches paths to templates such as `/v1/tickets/{number}`.

use std::collections::BTreeMap;

use percent_encoding::percent_decode_str;

/// Path of an endpoint.
///
/// A segment `{name}` stands for any one segment, and a last segment `{name:.*}` for all that follow.
#[derive(Debug)]
pub(super) struct PathTemplate(Vec<Segment>);

#[derive(Debug)]
enum Segment {
    Literal(Box<str>),
    Variable(Box<str>),
    Rest(Box<str>),
}

impl PathTemplate {
    pub(super) fn new(path: &str) -> Self {
        let segments = path.split('/').filter(|segment| !segment.is_empty());
        let segments = segments.map(|segment| {
            let name = segment.strip_prefix('{').and_then(|s| s.strip_suffix('}'));
            match name {
                None => Segment::Literal(segment.into()),
                Some(name) => match name.strip_suffix(":.*") {
                    Some(name) => Segment::Rest(name.into()),
                    None => Segment::Variable(name.into()),
                },
            }
        });
        Self(segments.collect())
    }

    /// Returns the variables of a path that matches, given its decoded segments.
    ///
    /// The segments of a rest are joined by slashes.
    pub(super) fn matches(&self, path: &[Box<str>]) -> Option<BTreeMap<Box<str>, Box<str>>> {
        let mut variables = BTreeMap::new();
        let mut rest = path;
        for segment in &self.0 {
            if let Segment::Rest(name) = segment {
                variables.insert(name.clone(), rest.join("/").into());
                return Some(variables);
            }
            let (first, others) = rest.split_first()?;
            rest = others;
            match segment {
                Segment::Literal(literal) if literal == first => {}
                Segment::Variable(name) => drop(variables.insert(name.clone(), first.clone())),
                _ => return None,
            }
        }
        rest.is_empty().then_some(variables)
    }
}

/// Splits a path into its segments and decodes them.
///
/// Returns `None` if a segment isn't UTF-8 or points to itself or its parent.
pub(super) fn decode(path: &str) -> Option<Vec<Box<str>>> {
    let segments = path.split('/').filter(|segment| !segment.is_empty());
    let segments = segments.map(|segment| {
        let segment = percent_decode_str(segment).decode_utf8().ok()?;
        (segment != "." && segment != "..").then(|| segment.into())
    });
    segments.collect()
}
