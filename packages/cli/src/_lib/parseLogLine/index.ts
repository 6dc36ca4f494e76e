import { parseJson } from '@gypsumspring/protocol'

/** A parsed line of a process's log. */
export interface LogLine {
  /** Unix time in ms, by the clock of the process that wrote the line. */
  time: number
  process: string
  msg: string
  fields: Record<string, unknown>
}

/** Parses a log line; text before its JSON object is ignored. Returns undefined for other text. */
export function parseLogLine (text: string): LogLine | undefined {
  const value = parseJson(text.slice(text.indexOf('{')))
  if (typeof value !== 'object' || value === null) return undefined
  const { time, process, msg, ...fields } = value as Record<string, unknown>
  return typeof time === 'number' && typeof process === 'string' && typeof msg === 'string'
    ? { time, process, msg, fields }
    : undefined
}
