import type { Member } from '@gypsumspring/protocol'

/** Processes of a failure domain that read the configuration row; the second covers the death of the first. */
const POLLERS_PER_DOMAIN = 2

/** Tells whether a process is among the first of its failure domain in id order that are alive and staying. */
export function isPoller (id: string, failureDomain: string, members: Member[]): boolean {
  const earlier = members.filter((member) =>
    member.failureDomain === failureDomain && !member.leaving && member.id < id)
  return earlier.length < POLLERS_PER_DOMAIN
}
