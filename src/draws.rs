//! How many servers are drawn for a pick.

/// Most draws for one pick, a count: absurd weights must not make a request cost O(fleet).
const MAX_DRAWS: usize = 32;

/// The number of draws for servers of these weights: with f from Wieder (2007, theorem 1.3),
/// the ceiling of f, f + 1 where f is whole, and 2 for equal weights.
///
/// `max`, `mean` and `min` are of the ready servers' weights, all positive.
#[must_use]
pub fn draw_count(max: f64, mean: f64, min: f64) -> usize {
    let (alpha, beta) = (max / mean, mean / min);
    let ab = alpha * beta;
    let f = ((ab - 1.0) / (alpha - 1.0)).ln() / ((ab - 1.0) / (ab - beta)).ln();
    // Nearly equal weights make f a quotient of two nothings.
    if !f.is_finite() || max - min <= 1e-9 * max {
        return 2;
    }
    // The paper asks for more than f, so a whole f is not enough.
    let whole = (f - f.round()).abs() < 1e-9;
    let d = if whole { f.round() + 1.0 } else { f.ceil() };
    (d as usize).clamp(2, MAX_DRAWS)
}
