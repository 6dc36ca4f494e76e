import { expect } from 'chai'
import { compareByteCounts } from './_lib/compareByteCounts.ts'
import { fitLine } from './_lib/fitLine.ts'

describe('measureCapacity', () => {
  it('counts the bytes of a TCP connection to within 1%, on which all traffic figures are based', async () => {
    const { sentBytes, countedReadBytes, countedWrittenBytes } = await compareByteCounts()
    expect(countedReadBytes).to.be.within(sentBytes, sentBytes * 1.01)
    expect(countedWrittenBytes).to.be.within(sentBytes, sentBytes * 1.01)
  })

  const cases: Array<{ name: string, points: Array<[number, number]>, line: ReturnType<typeof fitLine> }> = [
    { name: 'points on a line', points: [[1, 3], [2, 5], [4, 9]], line: { slope: 2, intercept: 1, deviation: 0 } },
    { name: 'a curve', points: [[0, 0], [2, 0], [4, 4]], line: { slope: 1, intercept: -2 / 3, deviation: 1 / 3 } },
    { name: 'a figure that is always 0', points: [[1, 0], [2, 0]], line: { slope: 0, intercept: 0, deviation: 0 } }
  ]
  for (const { name, points, line } of cases) {
    it(`fits ${name} and reports its deviation from the line`, () => {
      const fitted = fitLine(points)
      expect(fitted.slope).to.be.closeTo(line.slope, 1e-9)
      expect(fitted.intercept).to.be.closeTo(line.intercept, 1e-9)
      expect(fitted.deviation).to.be.closeTo(line.deviation, 1e-9)
    })
  }

  it('rejects points that all have the same size, which determine no slope', () => {
    expect(() => fitLine([[2, 1], [2, 3]])).to.throw('two different sizes')
  })
})
