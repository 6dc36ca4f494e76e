import type { ObjectStore, Table } from '@gypsumspring/adapters'
import { answerKey, expiryPrefix, toMinute } from '../once/_lib/record.ts'
import { KEEP_MS } from '../once/constants/index.ts'

/** Row with the last minute whose records were removed. */
const CURSOR_KEY = 'once-sweep/cursor'

/** Records deleted in one transaction. */
const BATCH = 100

/** Minutes swept in one call, so that a long backlog does not take the store's capacity. */
const MINUTES_AT_ONCE = 10

/**
 * Removes at-most-once records, with their answers, that are older than 24 h by the clock of the entry that wrote them.
 * Any number of processes may call it: a record and its listing are written and deleted together, so a listed
 * record is never a younger one, and a repeated removal does nothing.
 *
 * @param table - Table service.
 * @param objects - Object store.
 * @param wallClockMs - Milliseconds since 1970.
 * @returns Number of records removed; stops early when the store fails, and continues there at the next call.
 *
 * @example
 * await sweepOnceRecords(platform.table, platform.objects, Date.now())
 */
export async function sweepOnceRecords (table: Table, objects: ObjectStore, wallClockMs: number): Promise<number> {
  const last = toMinute(wallClockMs - KEEP_MS) - 1
  const cursor = await table.read(CURSOR_KEY)
  if (cursor.isLeft()) return 0
  const row = cursor.unsafeCoerce()
  // Without a cursor nothing was ever swept; the first listing shows where the oldest records are.
  let minute = (row?.value as { minute: number } | undefined)?.minute ?? await findOldest(table, last)
  const start = minute
  let removed = 0
  while (minute < last && minute - start < MINUTES_AT_ONCE) {
    const count = await sweepMinute(table, objects, minute + 1)
    if (count === undefined) break
    removed += count
    minute++
  }
  if (minute > start) {
    await table.transact({
      checks: [{ key: CURSOR_KEY, version: row?.version ?? 0 }],
      writes: [{ kind: 'put', key: CURSOR_KEY, value: { minute } }]
    })
  }
  return removed
}

async function findOldest (table: Table, last: number): Promise<number> {
  const rows = (await table.scan('once-expiry/')).orDefault([])
  const [oldest] = rows
  return oldest === undefined ? last : Math.min(last, Number(oldest.key.split('/')[1]) - 1)
}

/** Removes the records of one minute; undefined when the store failed. */
async function sweepMinute (table: Table, objects: ObjectStore, minute: number): Promise<number | undefined> {
  const prefix = expiryPrefix(minute)
  const listed = await table.scan(prefix)
  if (listed.isLeft()) return undefined
  const rows = listed.unsafeCoerce()
  for (let start = 0; start < rows.length; start += BATCH) {
    const batch = rows.slice(start, start + BATCH)
    const removed = await Promise.all(batch.map(async ({ key, value }) =>
      await objects.remove(answerKey(key.slice(prefix.length), (value as { nonce: string }).nonce))))
    if (removed.some((outcome) => outcome.isLeft())) return undefined
    const keys = batch.flatMap(({ key }) => [key, key.slice(prefix.length)])
    const deleted = await table.transact({
      // A record that was taken over since the listing has a listing of another minute, and this one is gone.
      checks: batch.map(({ key, version }) => ({ key, version })),
      writes: keys.map((key) => ({ kind: 'delete', key }))
    })
    if (deleted.isLeft()) return undefined
  }
  return rows.length
}
