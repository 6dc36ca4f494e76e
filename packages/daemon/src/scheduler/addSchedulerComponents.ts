import { IndexedPlacer } from '@gypsumspring/core'
import type { ProcessContext } from '../types.ts'
import { StatusServer } from './statusServer/index.ts'
import { ShardSupervisor, type SupervisorOptions } from './ShardSupervisor.ts'

/**
 * Registers the components of the scheduler role with the process life cycle, and its RPC methods with the handlers.
 *
 * @param context - Services and settings shared by all components of the process.
 * @param options.createPlacer - Creates the placer of a shard. Default: an `IndexedPlacer`.
 *
 * @example
 * addSchedulerParts(context)
 */
export function addSchedulerComponents (context: ProcessContext, options: Partial<SupervisorOptions> = {}): void {
  const supervisor = new ShardSupervisor(context, { createPlacer: () => new IndexedPlacer(), ...options })
  context.handlers['shard.status'] = () => ({ shards: supervisor.describe() })
  context.handlers['shard.explain'] = ({ task }) => {
    const lines = supervisor.explain(task)
    return { found: lines !== undefined, lines: lines ?? [] }
  }
  const status = new StatusServer(context)
  const { operatorPort, host } = context.settings
  context.lifecycle.add({
    name: 'status', start: async () => await status.listen(operatorPort, host), stop: async () => await status.close()
  })
  context.lifecycle.add({ name: 'scheduler', start: () => supervisor.start(), stop: async () => await supervisor.stop() })
}
