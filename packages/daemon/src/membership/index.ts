export { GossipMembership } from './GossipMembership.ts'
export { MemberTable } from './MemberTable.ts'
