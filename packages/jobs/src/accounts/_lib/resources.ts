/** The resources that caps limit. */
export const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const
