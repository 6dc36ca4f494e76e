import { pino, type Logger } from 'pino'

export type { Logger }

/**
 * Creates the root logger of a process, which writes JSON lines to standard output.
 *
 * @param settings.id - Process id, included in each line.
 * @param settings.logLevel - Minimum level that is logged; `setLogLevel` changes it later.
 * @returns The root logger.
 *
 * @example
 * createLogger({ id: 'e1', logLevel: 'info' })
 */
export function createLogger (settings: { id: string, logLevel: string }): Logger {
  return pino({ level: settings.logLevel, base: { process: settings.id } })
}

/** Component loggers of each root. A child logger of pino does not follow later level changes of its parent. */
const componentLoggers = new WeakMap<Logger, Logger[]>()

/**
 * Creates the logger of one component of a process. Its messages start with the component's name, such as `shard: `.
 *
 * @param root - The root logger.
 * @param component - Name of the component.
 * @returns A child logger whose level `setLogLevel` changes together with the root's.
 *
 * @example
 * createComponentLogger(root, 'shard').info({ task }, 'task started')
 */
export function createComponentLogger (root: Logger, component: string): Logger {
  const logger = root.child({}, { msgPrefix: `${component}: ` })
  componentLoggers.set(root, [...(componentLoggers.get(root) ?? []), logger])
  return logger
}

/**
 * Changes the level of a root logger and of its component loggers at run time.
 *
 * @param root - The root logger.
 * @param level - Minimum level that is logged.
 *
 * @example
 * setLogLevel(root, 'debug')
 */
export function setLogLevel (root: Logger, level: string): void {
  for (const logger of [root, ...(componentLoggers.get(root) ?? [])]) logger.level = level
}
