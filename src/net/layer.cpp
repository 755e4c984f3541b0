// placeholder until the layer has its first file
