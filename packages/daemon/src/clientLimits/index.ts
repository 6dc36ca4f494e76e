export { ClientLimits, type ClientLimitsOptions } from './ClientLimits.ts'
export type { BodyLimits } from './_lib/BodyReceiver.ts'
export { deriveClientLimits, type MachineLimits, type MachineResources } from './deriveClientLimits/index.ts'
export { isWithinShape, type JsonShapeLimits } from './isWithinShape/index.ts'
