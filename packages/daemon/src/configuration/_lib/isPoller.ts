import type { Member } from '@gypsumspring/protocol'

/** Processes per failure domain that poll the configuration row. The second one covers a failure of the first. */
const POLLERS_PER_DOMAIN = 2

/** Returns whether a process is among the first by id of its failure domain, not counting members that are leaving. */
export function isPoller (id: string, failureDomain: string, members: Member[]): boolean {
  const earlier = members.filter((member) =>
    member.failureDomain === failureDomain && !member.leaving && member.id < id)
  return earlier.length < POLLERS_PER_DOMAIN
}
