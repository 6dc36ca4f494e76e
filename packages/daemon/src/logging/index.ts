import { pino, type Logger } from 'pino'

export type { Logger }

/**
 * Makes the root logger of a process. Lines go to standard output as JSON.
 *
 * @param settings.id - Process id, in each line.
 * @param settings.logLevel - Least severe level that is logged; can be changed later through `logger.level`.
 * @returns The root logger.
 *
 * @example
 * createLogger({ id: 'e1', logLevel: 'info' })
 */
export function createLogger (settings: { id: string, logLevel: string }): Logger {
  return pino({ level: settings.logLevel, base: { process: settings.id } })
}

/**
 * Makes the logger of one part of a process. Its lines start with the part's fixed prefix, such as `shard: `.
 *
 * @param root - The root logger.
 * @param part - Name of the part.
 * @returns A child logger that follows the level of the root at the time of the call.
 *
 * @example
 * createPartLogger(root, 'shard').info({ task }, 'task started')
 */
export function createPartLogger (root: Logger, part: string): Logger {
  return root.child({}, { msgPrefix: `${part}: ` })
}
