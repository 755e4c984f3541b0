namespace standin
{
}
