export function journalPrefix (shard: string): string {
  return `journal/${shard}/`
}

/** Key of a journal row; the sequence is padded with zeros, so that key order is sequence order. */
export function journalKey (shard: string, sequence: number): string {
  return `${journalPrefix(shard)}${String(sequence).padStart(14, '0')}`
}

export function snapshotRowKey (shard: string): string {
  return `shard-snapshot/${shard}`
}

export function assignmentKey (group: string): string {
  return `assignment/${group}`
}
