//! Number of servers drawn for a pick.

/// Maximum number of draws per pick: extreme weights must not make a request cost O(fleet).
const MAX_DRAW_COUNT: usize = 32;

/// Returns the number of draws for servers of these weights. With f from Wieder (2007, theorem 1.3),
/// that is f rounded up, f + 1 if f is an integer, and 2 for equal weights.
///
/// `max`, `mean` and `min` are those of the ready servers' weights, all positive.
#[must_use]
pub fn draw_count(max: f64, mean: f64, min: f64) -> usize {
    let (alpha, beta) = (max / mean, mean / min);
    let alpha_beta = alpha * beta;
    let f = ((alpha_beta - 1.0) / (alpha - 1.0)).ln() / ((alpha_beta - 1.0) / (alpha_beta - beta)).ln();
    // Nearly equal weights make f a quotient of two values near zero.
    if !f.is_finite() || max - min <= 1e-9 * max {
        return 2;
    }
    // The theorem requires more than f draws, so an integer f is not enough.
    let is_integer = (f - f.round()).abs() < 1e-9;
    let d = if is_integer { f.round() + 1.0 } else { f.ceil() };
    (d as usize).clamp(2, MAX_DRAW_COUNT)
}
