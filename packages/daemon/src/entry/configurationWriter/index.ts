import type { ObjectStore, Table } from '@gypsumspring/adapters'
import {
  CONFIGURATION_KEY, EMPTY_CONFIGURATION_INDEX, type Configuration, type ConfigurationIndex, type Manifest
} from '@gypsumspring/protocol'
import type { Either } from 'purify-ts/Either'
import type { Metrics } from '../../metrics/index.ts'
import { loadManifests } from '../loadManifests/index.ts'
import { sleep } from '@gypsumspring/protocol'

/**
 * Computes the next index from the one in the table. Called again after a conflicting write, so it must be stateless.
 * `Left` refuses the change; returning the same index object means that the change is already in force.
 */
export type ConfigurationChange<Refusal> = (
  index: ConfigurationIndex, manifests: Record<string, Manifest>
) => Promise<Either<Refusal, ConfigurationIndex>> | Either<Refusal, ConfigurationIndex>

export type ChangeResult<Refusal> =
  | { kind: 'accepted', index: ConfigurationIndex, changed: boolean }
  | { kind: 'refused', refusal: Refusal }
  /** Nothing was changed, because the store was unavailable or there were too many conflicting writes. */
  | { kind: 'not-done', reason: 'store-unavailable' | 'contention' }
  /** The change may have been made. */
  | { kind: 'unknown' }

export interface ConfigurationWriterOptions {
  table: Table
  objects: ObjectStore
  currentConfiguration: () => Configuration | undefined
  metrics: Metrics
}

/** Maximum number of attempts to write a change. Each conflict means that another change was written. */
const MAX_ATTEMPTS = 10

/** Mean delay after a conflict, in ms; multiplied by the number of the attempt. */
const BACKOFF_MS = 20

/** Changes the row `config/current` by conditional writes. */
export class ConfigurationWriter {
  readonly #options: ConfigurationWriterOptions

  constructor (options: ConfigurationWriterOptions) {
    this.#options = options
  }

  /** Applies a change. After a write with unknown effect the row is read again to see if the change is in force. */
  async change<Refusal> (change: ConfigurationChange<Refusal>): Promise<ChangeResult<Refusal>> {
    const { table, objects, currentConfiguration, metrics } = this.#options
    let maybeWritten = false
    const failed = (reason: 'store-unavailable' | 'contention'): ChangeResult<Refusal> =>
      maybeWritten ? { kind: 'unknown' } : { kind: 'not-done', reason }
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(BACKOFF_MS * attempt * (0.5 + Math.random()))
      const read = await table.read(CONFIGURATION_KEY)
      if (read.isLeft()) {
        // After a write with unknown effect only the row shows whether it was applied.
        if (maybeWritten) continue
        return failed('store-unavailable')
      }
      const row = read.unsafeCoerce()
      const index = (row?.value as ConfigurationIndex | undefined) ?? EMPTY_CONFIGURATION_INDEX
      const manifests = await loadManifests(objects, index, currentConfiguration())
      if (manifests.isLeft()) return failed('store-unavailable')
      const next = await change(index, manifests.unsafeCoerce())
      if (next.isLeft()) return { kind: 'refused', refusal: next.extract() as Refusal }
      const value = next.unsafeCoerce()
      if (value === index) return { kind: 'accepted', index, changed: maybeWritten }
      const written = await table.transact({
        checks: [{ key: CONFIGURATION_KEY, version: row?.version ?? 0 }],
        writes: [{ kind: 'put', key: CONFIGURATION_KEY, value: { ...value, version: index.version + 1 } }]
      })
      if (written.isRight()) return { kind: 'accepted', index: { ...value, version: index.version + 1 }, changed: true }
      const { certainty, reason } = written.swap().unsafeCoerce()
      metrics.count('config_write_failed', { reason })
      if (certainty === 'unknown') maybeWritten = true
      else if (reason !== 'conflict') return failed('store-unavailable')
    }
    return failed(maybeWritten ? 'store-unavailable' : 'contention')
  }
}
