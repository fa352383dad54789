/**
 * Probabilities of the binomial distribution.
 *
 * @module
 */

/**
 * Probability of at most `successes` in `trials`, each with `chance`.
 *
 * @example
 * ```ts
 * atMost(0, 20, 0.2); // 0.0115
 * ```
 */
export function atMost(
  successes: number,
  trials: number,
  chance: number,
): number {
  if (successes >= trials) return 1;
  if (chance <= 0) return 1;
  if (chance >= 1) return 0;
  let logTerm = trials * Math.log1p(-chance);
  const logOdds = Math.log(chance) - Math.log1p(-chance);
  let sum = Math.exp(logTerm);
  for (let k = 1; k <= successes; k++) {
    logTerm += Math.log((trials - k + 1) / k) + logOdds;
    sum += Math.exp(logTerm);
  }
  return Math.min(1, sum);
}
