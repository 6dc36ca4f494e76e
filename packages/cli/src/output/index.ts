/** Exit codes of gypsumctl; docs/operators.md explains them. */
export const exitCodes = {
  ok: 0,
  usage: 2,
  invalidManifest: 3,
  conflict: 4,
  notYetInForce: 5,
  unavailable: 6,
  unknownOutcome: 7,
  notFound: 8
} as const

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes]

/** What a command leaves behind: lines for standard output or standard error, and the exit code. */
export interface CommandResult {
  code: ExitCode
  output: string[]
  errors?: string[]
}

/** Writes a result and sets the exit code. */
export function finish ({ code, output, errors = [] }: CommandResult): void {
  for (const line of output) process.stdout.write(`${line}\n`)
  for (const line of errors) process.stderr.write(`gypsumctl: ${line}\n`)
  process.exitCode = code
}

/**
 * Aligns rows in columns.
 *
 * @param rows - Cells of each row; the first row is the heading.
 * @returns One line a row.
 *
 * @example
 * formatTable([['task', 'state'], ['a/0', 'running']]) // => ['task  state', 'a/0   running']
 */
export function formatTable (rows: string[][]): string[] {
  const widths = (rows[0] ?? []).map((_cell, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)))
  return rows.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
