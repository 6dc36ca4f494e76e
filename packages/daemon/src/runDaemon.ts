import { createPartLogger, type Logger } from './logging/index.ts'
import { Lifecycle } from './lifecycle/index.ts'
import { Metrics } from './metrics/index.ts'
import type { Settings } from './settings/index.ts'

/** What every part of a process is given. */
export interface ProcessContext {
  settings: Settings
  logger: Logger
  metrics: Metrics
  lifecycle: Lifecycle
  /** Changes at each start of the process, so that peers can tell a restart from a reconnect. */
  incarnation: string
}

/**
 * Runs the role named in the settings until SIGTERM or SIGINT, then stops its parts in reverse order.
 *
 * @param settings - Checked settings.
 * @param logger - Root logger.
 * @returns Nothing; the process goes on until a signal.
 */
export async function runDaemon (settings: Settings, logger: Logger): Promise<void> {
  const log = createPartLogger(logger, 'process')
  const context: ProcessContext = {
    settings, logger, metrics: new Metrics(), lifecycle: new Lifecycle(), incarnation: crypto.randomUUID()
  }
  // Only the role's own code is loaded, to keep the resident memory of a scheduler within its target.
  if (settings.role === 'entry') (await import('./entry/addEntryParts.ts')).addEntryParts(context)
  else (await import('./scheduler/addSchedulerParts.ts')).addSchedulerParts(context)
  await context.lifecycle.start()
  log.info({ role: settings.role }, 'started')
  stopOnSignal(context, log)
}

function stopOnSignal (context: ProcessContext, log: Logger): void {
  let stopping = false
  const stop = async (signal: string) => {
    if (stopping) return
    stopping = true
    log.info({ signal }, 'stopping')
    const timer = setTimeout(() => {
      log.error('graceful shutdown took too long')
      process.exit(1)
    }, context.settings.shutdownMs)
    await context.lifecycle.stop()
    clearTimeout(timer)
    log.info('stopped')
    process.exit(0)
  }
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => { stop(signal).catch(fail) })
}

function fail (error: unknown): void {
  process.nextTick(() => { throw error })
}
