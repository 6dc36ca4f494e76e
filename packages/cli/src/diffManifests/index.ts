import type { Manifest } from '@gypsumspring/protocol'

type Identified = { id: string }

/**
 * Lists the changes from one manifest of a scope to the next.
 *
 * @param current - Current manifest, or undefined for a new scope.
 * @param next - Manifest to apply.
 * @returns One line for each item that is added (`+`) or removed (`-`) and for each field that is changed (`~`); empty
 * if the manifests are equal.
 *
 * @example
 * diffManifests(undefined, manifest) // => ['+ team balcao', ...]
 */
export function diffManifests (current: Manifest | undefined, next: Manifest): string[] {
  const weights = [current?.packingWeight, next.packingWeight]
  return [
    ...weights[0] === weights[1] ? [] : [`~ packingWeight: ${weights[0] ?? 'none'} -> ${weights[1] ?? 'none'}`],
    ...diffById('team', current?.teams ?? [], next.teams),
    ...diffById('endpoint', current?.endpoints ?? [], next.endpoints ?? []),
    ...diffById('workload', current?.workloads ?? [], next.workloads ?? [])
  ]
}

function diffById (kind: string, current: Identified[], next: Identified[]): string[] {
  const before = new Map(current.map((item) => [item.id, item]))
  const after = new Map(next.map((item) => [item.id, item]))
  const removed = current.filter(({ id }) => !after.has(id)).map(({ id }) => `- ${kind} ${id}`)
  const addedOrChanged = next.flatMap((item) => {
    const previous = before.get(item.id)
    return previous === undefined ? [`+ ${kind} ${item.id}`] : diffFields(`${kind} ${item.id}`, previous, item)
  })
  return [...removed, ...addedOrChanged]
}

function diffFields (label: string, before: object, after: object): string[] {
  const previousFields = new Map(Object.entries(before))
  const fields = new Map(Object.entries(after))
  return [...new Set([...previousFields.keys(), ...fields.keys()])]
    .filter((name) => JSON.stringify(previousFields.get(name)) !== JSON.stringify(fields.get(name)))
    .map((name) => `~ ${label} ${name}: ${formatValue(previousFields.get(name))} -> ${formatValue(fields.get(name))}`)
}

function formatValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'none'
  return text.length > 60 ? `${text.slice(0, 60)}...` : text
}
