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

/** Part loggers of each root; a child of pino keeps the level that its parent had when it was made. */
const partLoggers = new WeakMap<Logger, Logger[]>()

/**
 * Makes the logger of one part of a process. Its lines start with the part's fixed prefix, such as `shard: `.
 *
 * @param root - The root logger.
 * @param part - Name of the part.
 * @returns A child logger whose level `setLogLevel` changes together with the root's.
 *
 * @example
 * createPartLogger(root, 'shard').info({ task }, 'task started')
 */
export function createPartLogger (root: Logger, part: string): Logger {
  const logger = root.child({}, { msgPrefix: `${part}: ` })
  partLoggers.set(root, [...(partLoggers.get(root) ?? []), logger])
  return logger
}

/**
 * Changes the level of a root logger and of its part loggers at run time.
 *
 * @param root - The root logger.
 * @param level - Least severe level that is logged.
 *
 * @example
 * setLogLevel(root, 'debug')
 */
export function setLogLevel (root: Logger, level: string): void {
  for (const logger of [root, ...(partLoggers.get(root) ?? [])]) logger.level = level
}
