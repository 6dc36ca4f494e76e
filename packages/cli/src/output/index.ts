/** Exit codes of gypsumctl, as documented in docs/operators.md. */
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

/** Result of a command: lines for standard output and standard error, and the exit code. */
export interface CommandResult {
  code: ExitCode
  output: string[]
  errors?: string[]
}

/** Writes the result of a command to standard output and standard error, and sets the exit code. */
export function writeResult ({ code, output, errors = [] }: CommandResult): void {
  for (const line of output) process.stdout.write(`${line}\n`)
  for (const line of errors) process.stderr.write(`gypsumctl: ${line}\n`)
  process.exitCode = code
}

/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - Cells of each row; the first row is the header.
 * @returns One line per row.
 *
 * @example
 * formatTable([['task', 'state'], ['a/0', 'running']]) // => ['task  state', 'a/0   running']
 */
export function formatTable (rows: string[][]): string[] {
  const widths = (rows[0] ?? []).map((_cell, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)))
  return rows.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
