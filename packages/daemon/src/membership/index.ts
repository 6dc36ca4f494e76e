export { MembershipTask } from './MembershipTask.ts'
export { MemberTable } from './MemberTable.ts'
